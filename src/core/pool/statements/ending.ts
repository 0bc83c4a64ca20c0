/** How an attempt to run a statement ended without being done. */

import type { Fault } from '../../statement/fault.ts'

/** A fault that the endpoint answered, or no answer: the connection broke, or the statement's time was used up. */
export type Ending = Fault | 'broken' | 'outOfTime'
