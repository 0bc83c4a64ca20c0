/** Requests of service levels by minute, counted from audit batches. The counts can be saved, so that each batch is read once. */

import * as z from 'zod'
import type { AuditRecord } from '../audit/record.ts'
import { classifyRequest } from './classification.ts'
import type { ServiceLevel } from './servicelevel.ts'

const minute = z.tuple([z.int(), z.int(), z.int()])
const gap = z.object({ count: z.int(), from: z.number(), to: z.number() })
const shape = z.object({
  /** Number of batches that were counted. */
  batches: z.int(),
  records: z.int(),
  /** The arrival of the oldest record. */
  oldest: z.number().optional(),
  gaps: z.array(gap),
  /** For each level: minutes since 1970, their requests, and the bad ones among them. */
  levels: z.array(z.array(minute))
})

type SavedCounts = z.output<typeof shape>
type Gap = z.output<typeof gap>

const MINUTE_MS = 60_000

/** Mutable, since it counts millions of records. */
export class Counts {
  private constructor (private readonly levels: readonly ServiceLevel[], private readonly kept: SavedCounts, private readonly minutes: ReadonlyArray<Map<number, [number, number, number]>>) {}

  static create (levels: readonly ServiceLevel[]): Counts {
    return new Counts(levels, { batches: 0, records: 0, gaps: [], levels: [] }, levels.map(() => new Map()))
  }

  /** Returns undefined when the text isn't what `toJSON` made for the same number of levels. */
  static parse (levels: readonly ServiceLevel[], text: string): Counts | undefined {
    const parsed = shape.safeParse(parseJson(text))
    if (!parsed.success || parsed.data.levels.length !== levels.length) return undefined
    return new Counts(levels, parsed.data, parsed.data.levels.map(list => new Map(list.map(one => [one[0], one]))))
  }

  get batches (): number {
    return this.kept.batches
  }

  get records (): number {
    return this.kept.records
  }

  get oldest (): number | undefined {
    return this.kept.oldest
  }

  get gaps (): readonly Gap[] {
    return this.kept.gaps
  }

  add (records: readonly AuditRecord[], gaps: readonly Gap[]): void {
    this.kept.batches++
    this.kept.records += records.length
    this.kept.gaps.push(...gaps)
    for (const record of records) this.count(record)
  }

  /** The minutes of the level with this index. */
  minutesOf (level: number): Iterable<readonly [number, number, number]> {
    return this.minutes[level]!.values()
  }

  toJSON (): SavedCounts {
    return { ...this.kept, levels: this.minutes.map(one => [...one.values()]) }
  }

  private count (record: AuditRecord): void {
    const { at } = record.fields
    this.kept.oldest = Math.min(this.kept.oldest ?? at, at)
    const minute = Math.floor(at / MINUTE_MS)
    for (const [i, level] of this.levels.entries()) {
      const verdict = classifyRequest(level, record)
      if (verdict === undefined) continue
      const count = this.minutes[i]!.get(minute) ?? [minute, 0, 0]
      count[1]++
      if (verdict === 'bad') count[2]++
      this.minutes[i]!.set(minute, count)
    }
  }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
