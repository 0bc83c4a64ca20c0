/** The interface of a run's sequence of statements. */

import type { ReasonName } from '../reasonname.ts'
import type { RunEvent } from './runevent.ts'
import type { RunNext } from './runnext.ts'
import type { RunStep } from './runstep.ts'

/** Decides by each answer of the endpoint what comes next. Immutable; a returned `send` carries the script's next state. */
export interface RunScript {
  first (): RunNext<RunScript>
  answered (step: RunStep, event: Extract<RunEvent, { kind: 'answered' }>): RunNext<RunScript>
  found (event: Extract<RunEvent, { kind: 'found' }>): RunNext<RunScript>
  refused (step: RunStep, event: Extract<RunEvent, { kind: 'refused' }>): RunNext<RunScript>
  /** The reason to report when the connection breaks, or is closed, before the step is answered. */
  lossReason (step: RunStep, reason: 'lost' | 'deadline'): ReasonName
}
