/** The groups that callers of this process use. */

import type { GroupId } from '../../core/id/group.ts'

/** Counts the connections that use each group. */
export class UsedGroups {
  private readonly counts = new Map<GroupId, number>()

  private constructor () {}

  static create (): UsedGroups {
    return new UsedGroups()
  }

  has (id: GroupId): boolean {
    return (this.counts.get(id) ?? 0) > 0
  }

  /** Counts a connection that uses these groups until the signal is aborted. Returns whether one of them wasn't in use before. */
  add (ids: readonly GroupId[], signal: AbortSignal): boolean {
    const isNew = ids.some(id => !this.has(id))
    this.count(ids, 1)
    signal.addEventListener('abort', () => this.count(ids, -1), { once: true })
    return isNew
  }

  private count (ids: readonly GroupId[], change: number): void {
    for (const id of ids) this.counts.set(id, (this.counts.get(id) ?? 0) + change)
  }
}
