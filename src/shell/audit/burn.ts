/** Takes the records of the last days into a report on service levels, an hour at a time. */

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
  readonly now: number
  /** Batches that may be read for one report. */
  readonly most: number
}

const HOUR_MS = 3_600_000
/** After so long the processes' batches of an hour are in the store, but for outages. */
const WRITE_DELAY_MS = 60_000

/**
 * Reads batches, newest hour first, until `most` are read. The counts of an
 * hour that is over are kept in the store, so that the next report reads only
 * what is new; the batches stay the source, and the kept counts are made anew
 * when the hour has got another number of batches since (after an outage) or
 * the levels are others.
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
    const { records, oldest, unreadable, gaps, batchesCounted: taken, batchesFound: there } = this
    return BurnReport.of({ now, oldest, records, batchesRead: taken, batchesThere: there, unreadable, gaps }, this.minuteCounts)
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
      const problem = page.match(one => one.fields.problems[0], unread => unread)
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
    for (const [i, tally] of this.minuteCounts.entries()) tally.add(counts.minutesOf(i))
  }

  private async kept (hour: number): Promise<Counts | undefined> {
    const body = await this.options.store.get(this.keyOf(hour))
    return body === undefined ? undefined : Counts.parse(this.options.levels, new TextDecoder().decode(body))
  }

  /** Who may only read the store gets the same report, by reading all batches each time. */
  private async storeCounts (hour: number, counts: Counts): Promise<void> {
    const body = new TextEncoder().encode(JSON.stringify(counts))
    await this.options.store.put(this.keyOf(hour), body).catch(() => undefined)
  }

  private keyOf (hour: number): string {
    return `${this.prefix}${new Date(hour).toISOString().slice(0, 13).replace('T', '/')}.json`
  }
}
