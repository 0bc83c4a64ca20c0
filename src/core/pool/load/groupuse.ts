/** Who asked what of one group lately, as one host saw it. */

import { classes } from '../../admission/classes.ts'
import type { Instant } from '../../id/instant.ts'
import type { TeamCount } from './teamcount.ts'
import { TeamUse } from './teamuse.ts'

type Largest = ReturnType<TeamUse['largest']>

/** What an explanation says of a refused statement. */
interface Leader extends TeamCount {
  /** Of all that was asked, from 0 to 1. */
  readonly part: number
}

/** Changes in place: each statement adds to it. */
export class GroupUse {
  private constructor (private readonly teams: TeamUse, private readonly byClass: TeamUse) {}

  static create (now: Instant): GroupUse {
    return new GroupUse(TeamUse.create(now), TeamUse.create(now))
  }

  add (team: string, rank: number, ending: 'done' | 'refused', now: Instant): void {
    this.teams.add(team, ending, now)
    this.byClass.add(String(rank), ending, now)
  }

  largest (most: number, now: Instant): Largest {
    return this.teams.largest(most, now)
  }

  /** By rank. */
  classes (now: Instant): ReadonlyArray<Largest['rest']> {
    const { teams } = this.byClass.largest(classes.length, now)
    return classes.map((_, rank) => {
      const { done = 0, refused = 0 } = teams.find(({ team }) => team === String(rank)) ?? {}
      return { done, refused }
    })
  }

  /** The team that asked most; undefined when nobody asked lately. */
  leader (now: Instant): Leader | undefined {
    const { teams: [first], rest } = this.teams.largest(1, now)
    if (first === undefined) return undefined
    const asked = first.done + first.refused
    return { ...first, part: asked / (asked + rest.done + rest.refused) }
  }
}
