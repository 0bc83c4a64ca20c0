/** Counts of one service level by minute, back from the time of the report. */

import type { ServiceLevel } from './servicelevel.ts'
import { judge } from './judge.ts'
import type { AuditRecord } from '../audit/record.ts'

interface Count {
  readonly events: number
  readonly bad: number
}

const MINUTE_MS = 60_000

/** Changes in place: it takes in millions of records. */
export class Tally {
  private readonly events: Uint32Array
  private readonly bad: Uint32Array

  private constructor (readonly level: ServiceLevel, private readonly now: number, minutes: number) {
    this.events = new Uint32Array(minutes)
    this.bad = new Uint32Array(minutes)
  }

  /** For the last `spanMs` before `now`. */
  static create (level: ServiceLevel, now: number, spanMs: number): Tally {
    return new Tally(level, now, Math.ceil(spanMs / MINUTE_MS))
  }

  /** Counts the record by its arrival; one outside of the span is passed over. */
  add (record: AuditRecord): void {
    const minute = Math.floor((this.now - record.fields.at) / MINUTE_MS)
    if (minute < 0 || minute >= this.events.length) return
    const verdict = judge(this.level, record)
    if (verdict === undefined) return
    this.events[minute]!++
    if (verdict === 'bad') this.bad[minute]!++
  }

  /** The last `ms` before the report. */
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
