/** The id of a caller: the user name under which a customer's program signs in. */

import type { Brand } from '../brand.ts'

/** Names a caller of a pool. */
export type CallerId = Brand<string, 'CallerId'>
