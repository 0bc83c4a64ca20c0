/**
 * Which teams use a group lately, and which are refused: the statements of the largest teams, so that an operator sees whose load it is.
 *
 * Memory is bounded for any number of teams. Beyond the maximum a new team replaces the one with the fewest statements (of several, the one added first),
 * whose count is added to the rest. So teams with much of the load stay, and the count of a team that was evicted and returned is a lower bound.
 */

import type { Instant } from '../../id/instant.ts'
import type { TeamCount } from './teamcount.ts'

interface Count {
  done: number
  refused: number
}

/** Teams that are counted separately; a hundredth of a group's statements is enough to be among them. */
const MAX_TEAMS = 100
/** Counts cover one to two windows: recent enough to show the present load, and more than a few statements. */
const WINDOW_MS = 5000

/** Changes in place, with each statement. */
export class TeamUsage {
  private now = new Map<string, Count>()
  private before = new Map<string, Count>()
  private rest: Count = { done: 0, refused: 0 }
  private restBefore: Count = { done: 0, refused: 0 }

  private constructor (private since: Instant) {}

  static create (now: Instant): TeamUsage {
    return new TeamUsage(now)
  }

  add (team: string, ending: 'done' | 'refused', now: Instant): void {
    this.rotate(now)
    const count = this.now.get(team) ?? this.addTeam(team)
    count[ending]++
  }

  /** The largest teams by number of statements, the largest first, and the sum of all others. */
  largest (most: number, now: Instant): { readonly teams: readonly TeamCount[], readonly rest: Count } {
    this.rotate(now)
    const sums = new Map<string, Count>([...this.before].map(([team, count]) => [team, { ...count }]))
    for (const [team, count] of this.now) sums.set(team, sum(count, sums.get(team)))
    const ranked = [...sums].map(([team, count]) => ({ team, ...count })).sort((a, b) => statementCount(b) - statementCount(a))
    const rest = ranked.slice(most).reduce(sum, sum(this.rest, this.restBefore))
    return { teams: ranked.slice(0, most), rest }
  }

  private rotate (now: Instant): void {
    if (now - this.since < WINDOW_MS) return
    const isOld = now - this.since >= 2 * WINDOW_MS
    this.before = isOld ? new Map() : this.now
    this.restBefore = isOld ? NO_COUNT : this.rest
    this.now = new Map()
    this.rest = NO_COUNT
    this.since = now
  }

  private addTeam (team: string): Count {
    if (this.now.size >= MAX_TEAMS) this.evictSmallest()
    const count = { done: 0, refused: 0 }
    this.now.set(team, count)
    return count
  }

  private evictSmallest (): void {
    let least: string | undefined
    let fewest = Infinity
    for (const [team, count] of this.now) {
      if (statementCount(count) >= fewest) continue
      least = team
      fewest = statementCount(count)
    }
    if (least === undefined) return
    this.rest = sum(this.rest, this.now.get(least))
    this.now.delete(least)
  }
}

const NO_COUNT: Readonly<Count> = { done: 0, refused: 0 }

function sum (a: Readonly<Count>, b: Readonly<Count> = NO_COUNT): Count {
  return { done: a.done + b.done, refused: a.refused + b.refused }
}

function statementCount ({ done, refused }: Readonly<Count>): number {
  return done + refused
}
