/** The service level report: how much of each error budget is left, and how fast it burns. */

import { budgetOf } from './budget.ts'
import type { ServiceLevel } from './servicelevel.ts'
import type { MinuteCounts } from './minutecounts.ts'

interface Window {
  readonly name: string
  readonly ms: number
}

interface Gap {
  readonly count: number
  readonly from: number
  readonly to: number
}

interface Source {
  readonly now: number
  /** The arrival of the oldest record that was read; absent when there was none. */
  readonly oldest?: number
  readonly records: number
  /** Batches that were counted in this run or an earlier one. */
  readonly batchesRead: number
  readonly batchesThere: number
  /** Batches that couldn't be read, one line each. */
  readonly unreadable: readonly string[]
  readonly gaps: readonly Gap[]
}

interface Level {
  readonly level: ServiceLevel
  /** A window is partial when the oldest record falls within it, so that its beginning isn't covered. */
  readonly windows: ReadonlyArray<Window & ReturnType<typeof budgetOf> & { readonly dropped: number, readonly isPartial: boolean }>
  /** Burn rate of each step, oldest first; null without data. */
  readonly hours: ReadonlyArray<number | null>
  readonly minutes: ReadonlyArray<number | null>
}

const MINUTE_MS = 60_000
const HOUR_MS = 60 * MINUTE_MS
const WINDOWS: readonly Window[] = [
  { name: '5 min', ms: 5 * MINUTE_MS },
  { name: '1 h', ms: HOUR_MS },
  { name: '6 h', ms: 6 * HOUR_MS },
  { name: '3 d', ms: 72 * HOUR_MS }
]
const SPAN_HOURS = 72
const FINE_STEP_MS = 5 * MINUTE_MS
const FINE_STEPS = 72

/** The values of one report. Immutable. */
export class BurnReport {
  private constructor (readonly source: Source, readonly levels: readonly Level[]) {}

  /** How far back a report goes. */
  static readonly spanMs = SPAN_HOURS * HOUR_MS

  static of (source: Source, minuteCounts: readonly MinuteCounts[]): BurnReport {
    return new BurnReport(source, minuteCounts.map(counts => levelOf(counts, source)))
  }

  get dropped (): number {
    return this.source.gaps.reduce((sum, gap) => sum + gap.count, 0)
  }
}

function levelOf (counts: MinuteCounts, { now, oldest, gaps }: Source): Level {
  const { level } = counts
  const windows = WINDOWS.map(window => {
    const dropped = gaps.filter(gap => gap.to > now - window.ms).reduce((sum, gap) => sum + gap.count, 0)
    const isPartial = oldest === undefined || oldest > now - window.ms
    return { ...window, isPartial, dropped, ...budgetOf(counts.window(window.ms), level.target, dropped) }
  })
  const burns = (stepMs: number, steps: number): ReadonlyArray<number | null> =>
    counts.series(stepMs, steps).map(count => budgetOf(count, level.target, 0).burn ?? null)
  return { level, windows, hours: burns(HOUR_MS, SPAN_HOURS), minutes: burns(FINE_STEP_MS, FINE_STEPS) }
}
