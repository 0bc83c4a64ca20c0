/** The groups that callers of this process use, counted by connection. */

import type { GroupId } from '../../core/id/group.ts'

export class UsedGroups {
  private readonly counts = new Map<GroupId, number>()

  private constructor () {}

  static create (): UsedGroups {
    return new UsedGroups()
  }

  has (id: GroupId): boolean {
    return (this.counts.get(id) ?? 0) > 0
  }

  /** Counts a caller of these groups until the signal is aborted; true when one of them wasn't used before. */
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
