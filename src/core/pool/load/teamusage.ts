/**
 * Who uses a group lately, and who is refused: the statements of the largest few teams, so that an operator sees whose load it is.
 *
 * Memory is bounded whatever the number of teams: beyond the most, the one with the fewest statements, of these the one that came first, gives its
 * place to the newcomer, and what it had counts among the rest. So a team with much of the work stays, and what
 * is told of one that was put out and came back is the least that it had.
 */

import type { Instant } from '../../id/instant.ts'
import type { TeamCount } from './teamcount.ts'

interface Count {
  done: number
  refused: number
}

/** Teams that are told apart; a hundredth of a group's statements is enough to be among them. */
const MAX_TEAMS = 100
/** What is told covers from one to two of these: young enough to show who it is now, and more than a few statements. */
const WINDOW_MS = 5000

/** Changes in place: each statement adds to it. */
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

  /** The largest teams by what they asked, the largest first, and all others as one. */
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
