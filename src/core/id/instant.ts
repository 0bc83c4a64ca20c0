/** A point in time on a monotonic clock. */

import type { Brand } from '../brand.ts'

/** Milliseconds of a monotonic clock; only differences within one process mean anything. */
export type Instant = Brand<number, 'Instant'>
