/** Takes the records of the last days into a report on service levels, a few batches in memory at a time. */

import { BurnReport } from '../../core/burn/report.ts'
import type { ServiceLevel } from '../../core/burn/servicelevel.ts'
import { Tally } from '../../core/burn/tally.ts'
import type { AuditReader } from './reader.ts'

type Gaps = Parameters<typeof BurnReport.of>[0]['gaps'][number]

/** Reads at most `most` batches, the newest ones. Rejects when the store doesn't answer. */
export async function measureBurn (reader: AuditReader, levels: readonly ServiceLevel[], now: number, most: number): Promise<BurnReport> {
  const keys = await reader.keys(now - BurnReport.spanMs, now)
  const newest = [...keys].sort((a, b) => b.cutAt - a.cutAt).slice(0, most)
  const tallies = levels.map(level => Tally.create(level, now, BurnReport.spanMs))
  const gaps: Gaps[] = []
  const unreadable: string[] = []
  let records = 0
  let oldest: number | undefined
  for await (const { key, page } of reader.batches(newest)) {
    const problem = page.match(one => one.fields.problems[0], unread => unread)
    if (page.isErr() || problem !== undefined) {
      unreadable.push(`${key.text}: ${problem}`)
      continue
    }
    gaps.push(...page.value.fields.gaps)
    records += page.value.fields.records.length
    for (const record of page.value.fields.records) {
      oldest = Math.min(oldest ?? now, record.fields.at)
      for (const tally of tallies) tally.add(record)
    }
  }
  return BurnReport.of({ now, oldest, records, batchesRead: newest.length, batchesThere: keys.length, unreadable, gaps }, tallies)
}
