/** Creates the HTTP/2 server for peers: in clear text, or with mutual TLS. */

import type { X509Certificate } from 'node:crypto'
import { createSecureServer, createServer, type Http2SecureServer, type Http2Server, type Http2Session } from 'node:http2'
import type { TLSSocket } from 'node:tls'
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

  static create ({ routes, keys, log }: Options): Http2Server | Http2SecureServer {
    if (keys === undefined) return createServer(connectNodeAdapter({ routes }))
    const server = createSecureServer(
      { ...keys.context, requestCert: true, rejectUnauthorized: true },
      connectNodeAdapter({ routes, contextValues: req => contextValuesOf('stream' in req ? req.stream.session : undefined) }))
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
  const certificate = (session?.socket as TLSSocket | undefined)?.getPeerX509Certificate()
  return createContextValues().set(TlsServer.certificate, certificate)
}
