/** Whether a certificate was made for a host. */

import type { X509Certificate } from 'node:crypto'

/**
 * Exactly the host's id as DNS name in the SAN, or as CN when there's none;
 * wildcards don't count. A leading dot would match any name below it, and an
 * empty name says nothing.
 */
export function isCertificateFor (certificate: X509Certificate, host: string): boolean {
  if (host === '' || host.startsWith('.')) return false
  return certificate.checkHost(host, { subject: 'default', wildcards: false }) !== undefined
}
