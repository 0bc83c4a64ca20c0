/** Where a host takes links of others. */

import type { LinkId } from './linkid.ts'

interface Linked {
  readonly address: { readonly ip: string }
  readonly linkPort: number
}

export function linkOf ({ address, linkPort }: Linked): LinkId {
  return `${address.ip}:${linkPort}` as LinkId
}
