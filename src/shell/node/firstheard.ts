/** The wait for the first word of some groups. */

import type { GroupId } from '../../core/id/group.ts'
import type { Groups } from '../caller/groups.ts'

const POLL_MS = 50

/**
 * Resolves when each group has a primary, or after `ms`. A group that has been
 * heard of isn't waited for: if it has no primary, its requests are told so.
 */
export async function firstHeard (groups: Groups, ids: readonly GroupId[], ms: number): Promise<void> {
  const strange = ids.filter(id => groups.get(id)?.term === 0)
  const end = performance.now() + ms
  while (performance.now() < end && strange.some(id => groups.get(id)?.primary === undefined)) {
    await groups.changed(POLL_MS)
  }
}
