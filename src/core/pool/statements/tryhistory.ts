/** What was tried for one statement, for the line that explains it. */

import type { Instant } from '../../id/instant.ts'
import type { Try } from './try.ts'

/** Changes in place: each statement has one, and few are written. */
export class TryHistory {
  private readonly recorded: Try[] = []

  private constructor (readonly since: Instant) {}

  static begin (now: Instant): TryHistory {
    return new TryHistory(now)
  }

  add (one: Try): void {
    this.recorded.push(one)
  }

  /** In their order. */
  get tries (): readonly Try[] {
    return this.recorded
  }

  get count (): number {
    return this.recorded.length
  }

  /** Such as `i-1 after 3:7 behind 2 ms, i-2 done 9 ms`; empty when no endpoint was asked. */
  toString (): string {
    return this.tries.map(({ endpoint, ending, after, ms }) => {
      const needed = after === undefined ? '' : ` after ${after}`
      return `${endpoint}${needed} ${ending} ${Math.round(ms)} ms`
    }).join(', ')
  }
}
