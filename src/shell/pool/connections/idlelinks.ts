/** The idle connections to one endpoint. */

import type { Instant } from '../../../core/id/instant.ts'
import type { TeamId } from '../../../core/id/team.ts'
import { ConnectionUsage } from '../../../core/pool/load/connectionusage.ts'
import type { SessionState } from '../../../core/session/sessionstate.ts'
import type { EndpointLink } from './link.ts'

/** Mutable, since every operation changes it. */
export class IdleLinks {
  /** In order of their last use; the most recently used is the last. */
  private links: EndpointLink[] = []
  /** The team that was announced when the connection was opened; this process's own connections have no entry. */
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

  /** Assigns the connection to the team for its whole lifetime. */
  assign (link: EndpointLink, team: TeamId | undefined): void {
    if (team !== undefined) this.teams.set(link, team)
  }

  /** Records that one of the team's connections was borrowed. */
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

  /** Returns whether it was there. */
  remove (link: EndpointLink): boolean {
    const at = this.links.indexOf(link)
    if (at >= 0) this.links.splice(at, 1)
    return at >= 0
  }

  /**
   * Removes the team's connection that needs the fewest commands to get to the session values; the most recently used among
   * equals, so that the others can reach their idle timeout. Undefined if the team has none: connections of other teams are never used.
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

  /** Removes the least recently used connection. */
  takeOldest (): EndpointLink | undefined {
    return this.links.shift()
  }

  /** Removes a connection of the team with the least use per idle connection; the least recently used among equals. */
  takeLeastUsed (now: Instant): EndpointLink | undefined {
    const counts = new Map<TeamId | undefined, number>()
    for (const link of this.links) counts.set(this.teams.get(link), (counts.get(this.teams.get(link)) ?? 0) + 1)
    const usePerLink = (link: EndpointLink) => this.use.of(this.teams.get(link), now) / counts.get(this.teams.get(link))!
    let least = 0
    for (let i = 1; i < this.links.length; i++) {
      if (usePerLink(this.links[i]!) < usePerLink(this.links[least]!)) least = i
    }
    this.use.tidy(now)
    return this.links.splice(least, 1)[0]
  }
}
