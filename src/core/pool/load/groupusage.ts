/** Which teams and classes used one group lately, as seen by one host. */

import { classes } from '../../admission/classes.ts'
import type { Instant } from '../../id/instant.ts'
import type { TeamCount } from './teamcount.ts'
import { TeamUsage } from './teamusage.ts'

type Largest = ReturnType<TeamUsage['largest']>

/** The team with the most statements, as the explanation of a refused statement shows it. */
interface TopTeam extends TeamCount {
  /** Fraction of all statements, from 0 to 1. */
  readonly part: number
}

/** Changes in place, with each statement. */
export class GroupUsage {
  private constructor (private readonly teams: TeamUsage, private readonly byClass: TeamUsage) {}

  static create (now: Instant): GroupUsage {
    return new GroupUsage(TeamUsage.create(now), TeamUsage.create(now))
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

  /** The team with the most statements; undefined if there were none lately. */
  leader (now: Instant): TopTeam | undefined {
    const { teams: [first], rest } = this.teams.largest(1, now)
    if (first === undefined) return undefined
    const asked = first.done + first.refused
    return { ...first, part: asked / (asked + rest.done + rest.refused) }
  }
}
