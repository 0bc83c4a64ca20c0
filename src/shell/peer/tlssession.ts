/** Creates HTTP/2 sessions to peers, in clear text or with mutual TLS. */

import { X509Certificate } from 'node:crypto'
import { Http2SessionManager } from '@connectrpc/connect-node'
import type { TlsKeys } from './tlskeys.ts'
import { isCertificateFor } from './tlsname.ts'

interface Session {
  readonly baseUrl: string
  readonly sessionManager: Http2SessionManager
}

/**
 * With keys, the server's certificate must name the expected peer, so that
 * nothing is sent to another host at the same address.
 */
export function createPeerSession (address: string, peer: string, keys: TlsKeys | undefined): Session {
  if (keys === undefined) {
    const baseUrl = `http://${address}`
    return { baseUrl, sessionManager: new Http2SessionManager(baseUrl) }
  }
  const baseUrl = `https://${address}`
  const sessionManager = new Http2SessionManager(baseUrl, {}, {
    ...keys.context,
    checkServerIdentity: (_, { raw }) =>
      isCertificateFor(new X509Certificate(raw), peer) ? undefined : new Error(`the certificate at ${address} isn't made for ${peer}`)
  })
  return { baseUrl, sessionManager }
}
