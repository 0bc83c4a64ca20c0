/** Builds the burn report on service levels from the audit records of the last days, hour by hour. */

import { Counts } from '../../core/burn/counts.ts'
import { BurnReport } from '../../core/burn/report.ts'
import type { ServiceLevel } from '../../core/burn/servicelevel.ts'
import { MinuteCounts } from '../../core/burn/minutecounts.ts'
import type { ObjectStore } from '../platform/objectstore.ts'
import { digest } from './digest.ts'
import { BatchKey } from './batchkey.ts'
import type { AuditReader } from './reader.ts'

interface Options {
  readonly reader: AuditReader
  readonly store: ObjectStore
  readonly levels: readonly ServiceLevel[]
  /** Milliseconds since the epoch; the report ends here. */
  readonly now: number
  /** Maximum number of batches to read for one report. */
  readonly most: number
}

const HOUR_MS = 3_600_000
/** Time after the end of an hour by which its batches are in the store, outages aside. */
const WRITE_DELAY_MS = 60_000

/**
 * Reads batches, newest hour first, until `most` are read. The counts of a
 * completed hour are cached in the store, so that the next report reads only
 * new batches. Cached counts are recomputed when the number of the hour's
 * batches has changed (after an outage) or the service levels have changed.
 */
export async function measureBurn (options: Options): Promise<BurnReport> {
  return await Measurement.create(options).run()
}

class Measurement {
  private readonly minuteCounts: readonly MinuteCounts[]
  private readonly gaps: Array<Counts['gaps'][number]> = []
  private readonly unreadable: string[] = []
  private readonly prefix: string
  private left: number
  private records = 0
  private batchesFound = 0
  private batchesCounted = 0
  private oldest: number | undefined

  private constructor (private readonly options: Options) {
    const { levels, now, most } = options
    this.minuteCounts = levels.map(level => MinuteCounts.create(level, now, BurnReport.spanMs))
    this.prefix = `burn/${digest(JSON.stringify(levels))}/`
    this.left = most
  }

  static create (options: Options): Measurement {
    return new Measurement(options)
  }

  async run (): Promise<BurnReport> {
    const { now, reader } = this.options
    for (const hour of BatchKey.hours(now - BurnReport.spanMs, now).toReversed()) {
      const keys = await reader.keys(hour, Math.min(hour + HOUR_MS - 1, now))
      this.batchesFound += keys.length
      if (keys.length > 0) await this.addHour(hour, keys)
    }
    const { records, oldest, unreadable, gaps, batchesCounted, batchesFound } = this
    return BurnReport.of({ now, oldest, records, batchesRead: batchesCounted, batchesThere: batchesFound, unreadable, gaps }, this.minuteCounts)
  }

  private async addHour (hour: number, keys: readonly BatchKey[]): Promise<void> {
    const kept = await this.kept(hour)
    if (kept !== undefined && kept.batches === keys.length) return this.addCounts(kept)
    const newest = [...keys].sort((a, b) => b.cutAt - a.cutAt).slice(0, this.left)
    this.left -= newest.length
    const counts = await this.count(newest)
    this.addCounts(counts)
    const isOver = hour + HOUR_MS + WRITE_DELAY_MS < this.options.now
    if (isOver && counts.batches === keys.length) await this.storeCounts(hour, counts)
  }

  private async count (keys: readonly BatchKey[]): Promise<Counts> {
    const counts = Counts.create(this.options.levels)
    for await (const { key, page } of this.options.reader.batches(keys)) {
      const problem = page.match(one => one.fields.problems[0], error => error)
      if (page.isOk() && problem === undefined) counts.add(page.value.fields.records, page.value.fields.gaps)
      else this.unreadable.push(`${key.text}: ${problem}`)
    }
    return counts
  }

  private addCounts (counts: Counts): void {
    const { oldest } = counts
    this.batchesCounted += counts.batches
    this.records += counts.records
    this.gaps.push(...counts.gaps)
    if (oldest !== undefined) this.oldest = Math.min(this.oldest ?? oldest, oldest)
    for (const [i, level] of this.minuteCounts.entries()) level.add(counts.minutesOf(i))
  }

  /** The cached counts of the hour, if there are any for these service levels. */
  private async kept (hour: number): Promise<Counts | undefined> {
    const body = await this.options.store.get(this.keyOf(hour))
    return body === undefined ? undefined : Counts.parse(this.options.levels, new TextDecoder().decode(body))
  }

  /** Ignores failures: with read-only access to the store, each report reads all batches. */
  private async storeCounts (hour: number, counts: Counts): Promise<void> {
    const body = new TextEncoder().encode(JSON.stringify(counts))
    await this.options.store.put(this.keyOf(hour), body).catch(() => undefined)
  }

  private keyOf (hour: number): string {
    return `${this.prefix}${new Date(hour).toISOString().slice(0, 13).replace('T', '/')}.json`
  }
}
