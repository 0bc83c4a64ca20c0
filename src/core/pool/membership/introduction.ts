/** How a host introduces itself to one that it hears from. */

import type { ControlAction } from './controlaction.ts'
import type { ControlState } from './controlstate.ts'
import type { LinkId } from './linkid.ts'
import { versionsOf } from './versions.ts'

/** Who it is, and what it has, so that it's told what is newer. */
export function introduction (state: ControlState, link: LinkId): ControlAction {
  return { kind: 'say', link, word: { kind: 'follow', self: state.self, versions: versionsOf(state) } }
}
