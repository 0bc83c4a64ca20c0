/** The id of a host: one machine that runs one agatepond process. */

import type { Brand } from '../brand.ts'

/** Names a host, unique for as long as the host list remembers it. */
export type HostId = Brand<string, 'HostId'>
