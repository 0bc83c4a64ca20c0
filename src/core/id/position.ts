/** A position in the log of a group. */

import type { Brand } from '../brand.ts'

/** Counts the transactions of a group's log; 0 is the empty log. */
export type Position = Brand<number, 'Position'>
