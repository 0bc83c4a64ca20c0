/** How much each team uses the connections to one endpoint. */

import type { TeamId } from '../../id/team.ts'
import type { Instant } from '../../id/instant.ts'

interface DecayingCount {
  readonly count: number
  readonly at: Instant
}

/** The weight of a use halves in this time: longer than a transaction, shorter than a team stays busy. */
const HALF_LIFE_MS = 2000
/** A team whose count has decayed below this is forgotten. */
const MIN_COUNT = 0.01

/** Changes in place, with every operation. */
export class ConnectionUsage {
  private readonly uses = new Map<TeamId, DecayingCount>()

  private constructor () {}

  static create (): ConnectionUsage {
    return new ConnectionUsage()
  }

  add (team: TeamId, now: Instant): void {
    this.uses.set(team, { count: this.of(team, now) + 1, at: now })
  }

  /** Uses of the team, weighted by age; 0 for this process's own connections. */
  of (team: TeamId | undefined, now: Instant): number {
    const use = team === undefined ? undefined : this.uses.get(team)
    return use === undefined ? 0 : use.count * 0.5 ** ((now - use.at) / HALF_LIFE_MS)
  }

  /** Forgets teams without recent uses, so that the table doesn't grow with all teams ever seen. */
  tidy (now: Instant): void {
    for (const team of this.uses.keys()) {
      if (this.of(team, now) < MIN_COUNT) this.uses.delete(team)
    }
  }
}
