/** The connections to one endpoint that nobody uses now. */

import type { Instant } from '../../../core/id/instant.ts'
import type { TeamId } from '../../../core/id/team.ts'
import { ConnectionUsage } from '../../../core/pool/load/connectionusage.ts'
import type { SessionState } from '../../../core/session/sessionstate.ts'
import type { EndpointLink } from './link.ts'

/** Changes in place: it's touched by every operation. */
export class IdleLinks {
  /** The one that was used last is the last. */
  private links: EndpointLink[] = []
  /** The team that the endpoint was told of as the connection was opened; none in it for this process's own. */
  private readonly teams = new WeakMap<EndpointLink, TeamId>()

  private readonly use = ConnectionUsage.create()

  private constructor () {}

  static create (): IdleLinks {
    return new IdleLinks()
  }

  get size (): number {
    return this.links.length
  }

  get all (): readonly EndpointLink[] {
    return [...this.links]
  }

  /** The connection serves the team and no other for as long as it lasts. */
  assign (link: EndpointLink, team: TeamId | undefined): void {
    if (team !== undefined) this.teams.set(link, team)
  }

  /** One of the team's connections is lent. */
  recordUse (team: TeamId | undefined, now: Instant): void {
    if (team !== undefined) this.use.add(team, now)
  }

  add (link: EndpointLink): void {
    this.links.push(link)
  }

  has (link: EndpointLink): boolean {
    return this.links.includes(link)
  }

  hasTeam (team: TeamId): boolean {
    return this.links.some(link => this.teams.get(link) === team)
  }

  /** Whether it was there. */
  remove (link: EndpointLink): boolean {
    const at = this.links.indexOf(link)
    if (at >= 0) this.links.splice(at, 1)
    return at >= 0
  }

  /**
   * Of the team's connections the one that takes the fewest commands to bring to the values; the last used among equals, so that the others may
   * rest. Undefined without one: a connection of another team never serves.
   */
  take (team: TeamId | undefined, values: SessionState): EndpointLink | undefined {
    let best = -1
    let least = Infinity
    for (let i = this.links.length - 1; i >= 0 && least > 0; i--) {
      const link = this.links[i]!
      if (this.teams.get(link) !== team) continue
      const distance = link.values.commandCountTo(values)
      if (distance >= least) continue
      best = i
      least = distance
    }
    return best < 0 ? undefined : this.links.splice(best, 1)[0]
  }

  /** The one that is unused for the longest time. */
  takeOldest (): EndpointLink | undefined {
    return this.links.shift()
  }

  /** One of the team whose unused connections serve least, each taking its part; the one that is unused for the longest time among equals. */
  takeLeastUsed (now: Instant): EndpointLink | undefined {
    const counts = new Map<TeamId | undefined, number>()
    for (const link of this.links) counts.set(this.teams.get(link), (counts.get(this.teams.get(link)) ?? 0) + 1)
    const partOf = (link: EndpointLink) => this.use.of(this.teams.get(link), now) / counts.get(this.teams.get(link))!
    let least = 0
    for (let i = 1; i < this.links.length; i++) {
      if (partOf(this.links[i]!) < partOf(this.links[least]!)) least = i
    }
    this.use.tidy(now)
    return this.links.splice(least, 1)[0]
  }
}
