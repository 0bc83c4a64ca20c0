/** The action by which a host starts to follow a source. */

import type { SyncAction } from './syncaction.ts'
import type { SyncState } from './syncstate.ts'
import type { LinkId } from './linkid.ts'
import { versionsOf } from './versions.ts'

/** Sends the host's own entry and its versions, so that the source sends newer rows. */
export function followAction (state: SyncState, link: LinkId): SyncAction {
  return { kind: 'say', link, message: { kind: 'follow', self: state.self, versions: versionsOf(state), isConfirming: true } }
}
