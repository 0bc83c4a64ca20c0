/** How a try of a statement ended when it wasn't done. */

import type { Fault } from '../../statement/fault.ts'

/** A fault that the endpoint answered, or no answer: `broken` when the connection broke, `outOfTime` when the statement's time was used up. */
export type Ending = Fault | 'broken' | 'outOfTime'
