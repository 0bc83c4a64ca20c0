/** Checks a certificate against a host's id. */

import type { X509Certificate } from 'node:crypto'

/**
 * Whether the certificate has the host's id as a DNS name in its SAN, or as its
 * CN if it has no such name. Wildcards don't match. Ids with a leading dot are
 * rejected, since `checkHost` matches them with any subdomain, and so is an empty id.
 */
export function isCertificateFor (certificate: X509Certificate, host: string): boolean {
  if (host === '' || host.startsWith('.')) return false
  return certificate.checkHost(host, { subject: 'default', wildcards: false }) !== undefined
}
