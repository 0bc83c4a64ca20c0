/** The latest known state of the groups, with a way to wait for changes. */

import type { Group } from '../../core/group/group.ts'
import type { Sample } from '../../core/group/sample.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { GroupId } from '../../core/id/group.ts'
import type { Instant } from '../../core/id/instant.ts'
import type { Position } from '../../core/id/position.ts'
import type { Term } from '../../core/id/term.ts'
import { Watermarks } from '../../core/routing/watermarks.ts'
import { RecentWrites } from '../../core/session/recentwrites.ts'
import type { Token } from '../../core/token.ts'

/** Write notices kept for each group: some seconds of writes of a busy one. */
const MAX_WRITE_NOTICES = 4096

/** Holds an immutable `Group` for each id; a sample of an older term never replaces one of a newer term. */
export class Groups {
  private readonly groups = new Map<GroupId, Group>()
  private readonly groupIds = new Map<EndpointId, GroupId>()
  private readonly watermarksByGroup = new Map<GroupId, Watermarks>()
  private readonly recentWritesByGroup = new Map<GroupId, RecentWrites>()
  private readonly waiting = new Set<() => void>()

  private constructor () {}

  static create (): Groups {
    return new Groups()
  }

  get (id: GroupId): Group | undefined {
    return this.groups.get(id)
  }

  set (group: Group): void {
    this.groups.set(group.id, group)
    for (const { endpoint } of group.samples) this.groupIds.set(endpoint, group.id)
  }

  /** Takes in a sample of an endpoint; ignores one of an unknown endpoint or an older term. */
  updateSample (sample: Sample): void {
    const group = this.groups.get(this.groupIds.get(sample.endpoint)!)
    const known = group?.sample(sample.endpoint)
    if (group === undefined || known === undefined || known.term > sample.term) return
    this.groups.set(group.id, group.with(sample))
    this.notifyWaiters()
  }

  /** The group's bounds with the times they were asked for. */
  watermarks (id: GroupId): Watermarks {
    return this.watermarksByGroup.get(id) ?? Watermarks.empty
  }

  addWatermark (id: GroupId, bound: Token, at: Instant): void {
    this.watermarksByGroup.set(id, this.watermarks(id).with(bound, at))
  }

  /** The group's recent writes with their sessions. */
  recentWrites (id: GroupId): RecentWrites {
    const known = this.recentWritesByGroup.get(id)
    if (known !== undefined) return known
    const writes = RecentWrites.create(MAX_WRITE_NOTICES)
    this.recentWritesByGroup.set(id, writes)
    return writes
  }

  /** Records a write notice; `session` is the fingerprint of the session that wrote. */
  addWriteNotice (endpoint: EndpointId, term: Term, position: Position, session: number): void {
    const id = this.groupIds.get(endpoint)
    if (id === undefined) return
    this.recentWrites(id).add(term, position, session)
    this.notifyWaiters()
  }

  /** Resolves at the next sample or write notice of any group, at the latest after `ms`. */
  async waitForChange (ms: number): Promise<void> {
    await new Promise<void>(resolve => {
      const settle = (): void => {
        clearTimeout(timer)
        this.waiting.delete(settle)
        resolve()
      }
      const timer = setTimeout(settle, ms)
      this.waiting.add(settle)
    })
  }

  private notifyWaiters (): void {
    for (const notify of [...this.waiting]) notify()
  }
}
