/** The result of an event: the next state and the actions to carry out. */

import type { SyncAction } from './syncaction.ts'
import type { SyncState } from './syncstate.ts'

export interface SyncStep {
  readonly state: SyncState
  readonly actions: readonly SyncAction[]
}
