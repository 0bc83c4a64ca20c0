/** The term of a group: the period in which one primary may accept writes. */

import type { Brand } from '../brand.ts'

/** Counts the promotions of a group; a whole number that only grows. */
export type Term = Brand<number, 'Term'>
