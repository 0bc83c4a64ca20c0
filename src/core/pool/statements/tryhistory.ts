/** The tries of one statement, for its log line and audit record. */

import type { Instant } from '../../id/instant.ts'
import type { Try } from './try.ts'

/** Mutable, since every statement has one and few are logged. */
export class TryHistory {
  private readonly recorded: Try[] = []

  private constructor (readonly since: Instant) {}

  static begin (now: Instant): TryHistory {
    return new TryHistory(now)
  }

  add (one: Try): void {
    this.recorded.push(one)
  }

  /** In the order in which they were made. */
  get tries (): readonly Try[] {
    return this.recorded
  }

  get count (): number {
    return this.recorded.length
  }

  /** Such as `i-1 after 3:7 behind 2 ms, i-2 done 9 ms`; empty without a try. */
  toString (): string {
    return this.tries.map(({ endpoint, ending, after, ms }) => {
      const needed = after === undefined ? '' : ` after ${after}`
      return `${endpoint}${needed} ${ending} ${Math.round(ms)} ms`
    }).join(', ')
  }
}
