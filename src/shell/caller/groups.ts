/** The groups as this process knows them, and the wait for a change. */

import type { Group } from '../../core/group/group.ts'
import type { Sample } from '../../core/group/sample.ts'
import type { GroupId } from '../../core/id/group.ts'

/** Holds one immutable `Group` for each id; a sample of an older term never replaces a newer one. */
export class Groups {
  private readonly groups = new Map<GroupId, Group>()
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
  }

  learn (sample: Sample): void {
    for (const group of this.groups.values()) {
      const known = group.sample(sample.endpoint)
      if (known === undefined || known.term > sample.term) continue
      this.groups.set(group.id, group.with(sample))
    }
    for (const wake of [...this.waiting]) wake()
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
}
