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
const MOST = 100
/** What is told covers from one to two of these: young enough to show who it is now, and more than a few statements. */
const HALF_MS = 5000

/** Changes in place: each statement adds to it. */
export class TeamUse {
  private now = new Map<string, Count>()
  private before = new Map<string, Count>()
  private rest: Count = { done: 0, refused: 0 }
  private restBefore: Count = { done: 0, refused: 0 }

  private constructor (private since: Instant) {}

  static create (now: Instant): TeamUse {
    return new TeamUse(now)
  }

  add (team: string, ending: 'done' | 'refused', now: Instant): void {
    this.turn(now)
    const count = this.now.get(team) ?? this.enter(team)
    count[ending]++
  }

  /** The largest teams by what they asked, the largest first, and all others as one. */
  largest (most: number, now: Instant): { readonly teams: readonly TeamCount[], readonly rest: Count } {
    this.turn(now)
    const sums = new Map<string, Count>([...this.before].map(([team, count]) => [team, { ...count }]))
    for (const [team, count] of this.now) sums.set(team, sum(count, sums.get(team)))
    const ranked = [...sums].map(([team, count]) => ({ team, ...count })).sort((a, b) => asked(b) - asked(a))
    const rest = ranked.slice(most).reduce(sum, sum(this.rest, this.restBefore))
    return { teams: ranked.slice(0, most), rest }
  }

  private turn (now: Instant): void {
    if (now - this.since < HALF_MS) return
    const isOld = now - this.since >= 2 * HALF_MS
    this.before = isOld ? new Map() : this.now
    this.restBefore = isOld ? NOTHING : this.rest
    this.now = new Map()
    this.rest = NOTHING
    this.since = now
  }

  private enter (team: string): Count {
    if (this.now.size >= MOST) this.putOut()
    const count = { done: 0, refused: 0 }
    this.now.set(team, count)
    return count
  }

  private putOut (): void {
    let least: string | undefined
    let fewest = Infinity
    for (const [team, count] of this.now) {
      if (asked(count) >= fewest) continue
      least = team
      fewest = asked(count)
    }
    if (least === undefined) return
    this.rest = sum(this.rest, this.now.get(least))
    this.now.delete(least)
  }
}

const NOTHING: Readonly<Count> = { done: 0, refused: 0 }

function sum (a: Readonly<Count>, b: Readonly<Count> = NOTHING): Count {
  return { done: a.done + b.done, refused: a.refused + b.refused }
}

function asked ({ done, refused }: Readonly<Count>): number {
  return done + refused
}
