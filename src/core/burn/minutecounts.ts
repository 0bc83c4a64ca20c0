/** Counts of one service level by minute, back from the time of a report. */

import type { ServiceLevel } from './servicelevel.ts'

interface Count {
  readonly events: number
  readonly bad: number
}

const MINUTE_MS = 60_000

/** Mutable, like the counts that it sums up. The first minute is that of the report, which isn't over. */
export class MinuteCounts {
  private readonly events: Uint32Array
  private readonly bad: Uint32Array

  private constructor (readonly level: ServiceLevel, private readonly newest: number, minutes: number) {
    this.events = new Uint32Array(minutes)
    this.bad = new Uint32Array(minutes)
  }

  /** Covers the last `spanMs` before `now`. */
  static create (level: ServiceLevel, now: number, spanMs: number): MinuteCounts {
    return new MinuteCounts(level, Math.floor(now / MINUTE_MS), Math.ceil(spanMs / MINUTE_MS))
  }

  /** Adds minutes since 1970 with their requests and the bad ones; minutes outside of the span are ignored. */
  add (minutes: Iterable<readonly [number, number, number]>): void {
    for (const [minute, events, bad] of minutes) {
      const ago = this.newest - minute
      if (ago < 0 || ago >= this.events.length) continue
      this.events[ago]! += events
      this.bad[ago]! += bad
    }
  }

  /** Counts of the last `ms` before the report, in whole minutes. */
  window (ms: number): Count {
    return this.between(0, ms)
  }

  /** The last `steps` windows of `stepMs` each, oldest first. */
  series (stepMs: number, steps: number): readonly Count[] {
    return Array.from({ length: steps }, (_, i) => this.between((steps - i - 1) * stepMs, (steps - i) * stepMs))
  }

  private between (fromMs: number, toMs: number): Count {
    const [from, to] = [fromMs / MINUTE_MS, toMs / MINUTE_MS]
    return { events: sum(this.events.subarray(from, to)), bad: sum(this.bad.subarray(from, to)) }
  }
}

function sum (numbers: Uint32Array): number {
  return numbers.reduce((total, one) => total + one, 0)
}
