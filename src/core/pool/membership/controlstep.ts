/** What an event makes of the control of a host. */

import type { ControlAction } from './controlaction.ts'
import type { ControlState } from './controlstate.ts'

export interface ControlStep {
  readonly state: ControlState
  readonly actions: readonly ControlAction[]
}
