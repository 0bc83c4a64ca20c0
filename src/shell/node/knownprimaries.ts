/** Waits for the primary of groups that this process hasn't used before. */

import type { GroupId } from '../../core/id/group.ts'
import type { Groups } from '../caller/groups.ts'

const POLL_INTERVAL_MS = 50

/** Remembers which groups have had a known primary. These aren't waited for again: if one has no primary now, its requests are refused. */
export class KnownPrimaries {
  private readonly heard = new Set<GroupId>()

  private constructor (private readonly groups: Groups) {}

  static of (groups: Groups): KnownPrimaries {
    return new KnownPrimaries(groups)
  }

  /** Resolves when each group has had a known primary, after `ms`, or soon after the signal is aborted. */
  async wait (ids: readonly GroupId[], ms: number, signal: AbortSignal): Promise<void> {
    const end = performance.now() + ms
    while (!this.areKnown(ids) && performance.now() < end && !signal.aborted) await this.groups.waitForChange(POLL_INTERVAL_MS)
  }

  private areKnown (ids: readonly GroupId[]): boolean {
    for (const id of ids) {
      if (this.groups.get(id)?.primary !== undefined) this.heard.add(id)
    }
    return ids.every(id => this.heard.has(id))
  }
}
