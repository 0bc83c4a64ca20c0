/** Where a host is linked to. */

import type { Brand } from '../../brand.ts'

/** The address and port of a host's links as `ip:port`; the settings name some hosts by it alone. */
export type LinkId = Brand<string, 'LinkId'>
