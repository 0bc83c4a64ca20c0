/** The wait for the first word of groups that nobody here has used before. */

import type { GroupId } from '../../core/id/group.ts'
import type { Groups } from '../caller/groups.ts'

const POLL_MS = 50

/** A group whose primary was once known isn't waited for again: if it has none now, its requests are told so. */
export class KnownPrimaries {
  private readonly heard = new Set<GroupId>()

  private constructor (private readonly groups: Groups) {}

  static of (groups: Groups): KnownPrimaries {
    return new KnownPrimaries(groups)
  }

  /** Resolves when each group has had a primary, or after `ms`. */
  async wait (ids: readonly GroupId[], ms: number): Promise<void> {
    const end = performance.now() + ms
    while (!this.areKnown(ids) && performance.now() < end) await this.groups.waitForChange(POLL_MS)
  }

  private areKnown (ids: readonly GroupId[]): boolean {
    for (const id of ids) {
      if (this.groups.get(id)?.primary !== undefined) this.heard.add(id)
    }
    return ids.every(id => this.heard.has(id))
  }
}
