/** Creates HTTP/2 sessions to peers, in clear text or with mutual TLS. */

import { X509Certificate } from 'node:crypto'
import { connect, type Socket } from 'node:net'
import { connect as connectTls, type ConnectionOptions } from 'node:tls'
import { Http2SessionManager } from '@connectrpc/connect-node'
import type { TlsKeys } from './tlskeys.ts'
import { isCertificateFor } from './tlsname.ts'

interface Session {
  readonly baseUrl: string
  readonly sessionManager: Http2SessionManager
  /** Bytes that the session's socket has read. */
  readonly bytesRead: () => number
}

/**
 * With keys, the server's certificate must name the expected peer, so that
 * nothing is sent to another host at the same address.
 */
export function createPeerSession (address: string, peer: string, keys: TlsKeys | undefined): Session {
  let socket: Socket | undefined
  const bytesRead = (): number => socket?.bytesRead ?? 0
  const options: ConnectionOptions = {
    ...keys?.context,
    ALPNProtocols: ['h2'],
    checkServerIdentity: (_, { raw }) =>
      isCertificateFor(new X509Certificate(raw), peer) ? undefined : new Error(`the certificate at ${address} isn't made for ${peer}`)
  }
  const baseUrl = `${keys === undefined ? 'http' : 'https'}://${address}`
  const sessionManager = new Http2SessionManager(baseUrl, {}, {
    createConnection: ({ hostname, port }) => {
      socket = keys === undefined ? connect(Number(port), hostname) : connectTls(Number(port), hostname, options)
      return socket
    }
  })
  return { baseUrl, sessionManager, bytesRead }
}
