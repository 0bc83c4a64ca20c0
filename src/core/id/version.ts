/** The version of the configuration. */

import type { Brand } from '../brand.ts'

/** Numbers an accepted configuration; a whole number that only grows. */
export type ConfigVersion = Brand<number, 'ConfigVersion'>
