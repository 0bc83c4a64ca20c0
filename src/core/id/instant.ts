/** A point of a clock that doesn't go back. */

import type { Brand } from '../brand.ts'

/** Milliseconds of a monotonic clock; only differences within one process mean anything. */
export type Instant = Brand<number, 'Instant'>
