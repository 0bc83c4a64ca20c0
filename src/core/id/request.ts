/** The id of a request. */

import type { Brand } from '../brand.ts'

/** Names a request; for a request that isn't repeatable it is the caller's idempotency key. */
export type RequestId = Brand<string, 'RequestId'>
