/** What an event makes of the control of a host. */

import type { SyncAction } from './syncaction.ts'
import type { SyncState } from './syncstate.ts'

export interface SyncStep {
  readonly state: SyncState
  readonly actions: readonly SyncAction[]
}
