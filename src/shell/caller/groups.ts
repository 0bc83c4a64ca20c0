/** The groups as this process knows them, and the wait for a change. */

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

/** Notes of writes kept for each group: some seconds of a busy one. */
const MOST_NOTES = 4096

/** Holds one immutable `Group` for each id; a sample of an older term never replaces a newer one. */
export class Groups {
  private readonly groups = new Map<GroupId, Group>()
  private readonly ids = new Map<EndpointId, GroupId>()
  private readonly allMarks = new Map<GroupId, Watermarks>()
  private readonly allWrites = new Map<GroupId, RecentWrites>()
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
    for (const { endpoint } of group.samples) this.ids.set(endpoint, group.id)
  }

  learn (sample: Sample): void {
    const group = this.groups.get(this.ids.get(sample.endpoint)!)
    const known = group?.sample(sample.endpoint)
    if (group === undefined || known === undefined || known.term > sample.term) return
    this.groups.set(group.id, group.with(sample))
    this.wake()
  }

  /** What this process has proved of the primary's progress. */
  marks (id: GroupId): Watermarks {
    return this.allMarks.get(id) ?? Watermarks.empty
  }

  mark (id: GroupId, bound: Token, at: Instant): void {
    this.allMarks.set(id, this.marks(id).with(bound, at))
  }

  /** Which session made each recent write. */
  writes (id: GroupId): RecentWrites {
    const known = this.allWrites.get(id)
    if (known !== undefined) return known
    const writes = RecentWrites.create(MOST_NOTES)
    this.allWrites.set(id, writes)
    return writes
  }

  /** Takes in a slot owner's note of a write. */
  note (endpoint: EndpointId, term: Term, position: Position, session: number): void {
    const id = this.ids.get(endpoint)
    if (id === undefined) return
    this.writes(id).add(term, position, session)
    this.wake()
  }

  /** Resolves when anything was learnt, or after `ms`. */
  async changed (ms: number): Promise<void> {
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

  private wake (): void {
    for (const wake of [...this.waiting]) wake()
  }
}
