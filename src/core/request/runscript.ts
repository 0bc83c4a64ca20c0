/** The statements of one run and what their answers mean. */

import type { ReasonName } from '../reasonname.ts'
import type { RunEvent } from './runevent.ts'
import type { RunNext } from './runnext.ts'
import type { RunStep } from './runstep.ts'

/** Immutable; a `send` that is returned carries the script's next state. */
export interface RunScript {
  first (): RunNext<RunScript>
  answered (step: RunStep, event: Extract<RunEvent, { kind: 'answered' }>): RunNext<RunScript>
  found (event: Extract<RunEvent, { kind: 'found' }>): RunNext<RunScript>
  refused (step: RunStep, event: Extract<RunEvent, { kind: 'refused' }>): RunNext<RunScript>
  /** What is known when the connection breaks, or is closed, before the answer to the step. */
  lossReason (step: RunStep, reason: 'lost' | 'deadline'): ReasonName
}
