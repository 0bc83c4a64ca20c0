/** The page of the burn report, also for names that aren't safe in HTML. */

import { describe, expect, it } from 'vitest'
import type { PoolId } from '../id/pool.ts'
import { burnChart } from './chart.ts'
import { burnPage } from './page.ts'
import { BurnReport } from './report.ts'
import { MinuteCounts } from './minutecounts.ts'

const source = { now: 0, records: 0, batchesRead: 0, batchesThere: 0, unreadable: [], gaps: [] }
const chart = (burns: ReadonlyArray<number | null>): string => burnChart({ title: 'T', burns, labelOf: String })
const count = (text: string, part: string): number => text.split(part).length - 1

describe('burnPage', () => {
  it('loads nothing else and escapes names', () => {
    const level = { name: '<script>alert(1)</script>', pool: 'a&b' as PoolId, measure: 'replicaShare', target: 0.8 } as const
    const page = burnPage(BurnReport.of(source, [MinuteCounts.create(level, 0, BurnReport.spanMs)]), String)
    expect(page).not.toMatch(/<script|src=|href=|url\(|https?:/)
    expect(page).toContain('&lt;script&gt;')
    expect(page).toContain('a&amp;b')
    expect(page).not.toContain('100%')
  })
})

describe('burnChart', () => {
  it('draws steps without data, within and over the budget differently, on a linear scale', () => {
    const svg = chart([null, 0, 1, 1.5])
    expect(['no-data', 'within', 'over'].map(name => count(svg, `<rect class="${name}"`))).toEqual([1, 2, 1])
    expect(svg).toContain('2: burn 1.00')
    expect(svg).not.toContain('square-root')
  })

  it('uses a square-root scale for a spike, and says "no data" when there is none', () => {
    expect(chart([0, 90])).toContain('square-root scale')
    expect(chart([null, null])).toContain('>no data</text>')
  })
})
