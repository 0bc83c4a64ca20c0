/** The id of a pool: groups, the callers that may use them, and the maximum ages of their reads. */

import type { Brand } from '../brand.ts'

/** Names a pool, unique in the whole configuration. */
export type PoolId = Brand<string, 'PoolId'>
