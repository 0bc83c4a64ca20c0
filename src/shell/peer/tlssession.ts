/** Where and how a peer is spoken to: in clear text, or by TLS with both sides proved. */

import { X509Certificate } from 'node:crypto'
import { Http2SessionManager } from '@connectrpc/connect-node'
import type { TlsKeys } from './tlskeys.ts'
import { isCertificateFor } from './tlsname.ts'

interface Session {
  readonly baseUrl: string
  readonly sessionManager: Http2SessionManager
}

/**
 * Against a host that answers at another's address: its certificate must be
 * made for the peer that the host list names there, or nothing is sent to it.
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
