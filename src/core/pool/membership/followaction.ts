/** How a host introduces itself to one that it hears from. */

import type { SyncAction } from './syncaction.ts'
import type { SyncState } from './syncstate.ts'
import type { LinkId } from './linkid.ts'
import { versionsOf } from './versions.ts'

/** Who it is, and what it has, so that it's told what is newer. */
export function followAction (state: SyncState, link: LinkId): SyncAction {
  return { kind: 'say', link, message: { kind: 'follow', self: state.self, versions: versionsOf(state) } }
}
