/** The address at which a host accepts links. */

import type { LinkId } from './linkid.ts'

interface LinkAddress {
  readonly address: { readonly ip: string }
  readonly linkPort: number
}

export function linkOf ({ address, linkPort }: LinkAddress): LinkId {
  return `${address.ip}:${linkPort}` as LinkId
}
