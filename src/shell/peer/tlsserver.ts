/** Creates the HTTP/2 server for peers: in clear text, or with mutual TLS. */

import type { X509Certificate } from 'node:crypto'
import { createSecureServer, createServer, type Http2SecureServer, type Http2Server, type Http2Session } from 'node:http2'
import { TLSSocket } from 'node:tls'
import { createContextKey, createContextValues, type ContextKey, type ContextValues } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import type { Log } from '../log/log.ts'
import type { TlsKeys } from './tlskeys.ts'

type Routes = Parameters<typeof connectNodeAdapter>[0]['routes']

interface Options {
  readonly routes: Routes
  readonly keys: TlsKeys | undefined
  readonly log: Log
}

/** Refused peers retry many times a second; each error message is logged at most once per interval. */
const LOG_INTERVAL_MS = 10_000

/** Creates a server that isn't listening yet. */
export class TlsServer {
  /** Context key of the peer's certificate, which is undefined in clear text. */
  static readonly certificate: ContextKey<X509Certificate | undefined> = createContextKey<X509Certificate | undefined>(undefined)

  /** Context key of the number of bytes that the peer's socket has read. */
  static readonly bytesRead: ContextKey<() => number> = createContextKey<() => number>(() => 0)

  static create ({ routes, keys, log }: Options): Http2Server | Http2SecureServer {
    const adapter = connectNodeAdapter({ routes, contextValues: req => contextValuesOf('stream' in req ? req.stream.session : undefined) })
    if (keys === undefined) return createServer(adapter)
    const server = createSecureServer({ ...keys.context, requestCert: true, rejectUnauthorized: true }, adapter)
    keys.onChange(context => server.setSecureContext(context))
    const loggedAt = new Map<string, number>()
    server.on('tlsClientError', ({ message }) => {
      if (performance.now() - (loggedAt.get(message) ?? -Infinity) < LOG_INTERVAL_MS) return
      loggedAt.set(message, performance.now())
      log.write('peerRefused', { err: message })
    })
    return server
  }
}

function contextValuesOf (session: Http2Session | undefined): ContextValues {
  const socket = session?.socket
  return createContextValues()
    .set(TlsServer.certificate, socket instanceof TLSSocket ? socket.getPeerX509Certificate() : undefined)
    .set(TlsServer.bytesRead, () => session?.destroyed === false ? socket?.bytesRead ?? 0 : 0)
}
