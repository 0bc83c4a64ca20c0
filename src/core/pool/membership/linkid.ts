/** Identifier of a host's link address. */

import type { Brand } from '../../brand.ts'

/** The address and port at which a host accepts links, as `ip:port`; seed hosts are known by it only. */
export type LinkId = Brand<string, 'LinkId'>
