/** Error budgets and burn rates, and windows without data. */

import { describe, expect, it } from 'vitest'
import type { Evidence } from '../audit/evidence.ts'
import { AuditRecord } from '../audit/record.ts'
import type { PoolId } from '../id/pool.ts'
import { budgetOf } from './budget.ts'
import { classifyRequest } from './classification.ts'
import { Counts } from './counts.ts'
import { BurnReport } from './report.ts'
import type { ServiceLevel } from './servicelevel.ts'
import { burnTable } from './table.ts'
import { MinuteCounts } from './minutecounts.ts'

const MINUTE_MS = 60_000
const NOW = 400_000 * MINUTE_MS

type Fields = Partial<Parameters<typeof AuditRecord.begin>[0]> & { outcome?: 'done' | 'failed' | 'notRun' | 'unknown', tookMs?: number, access?: 'read' | 'strict' | 'transaction', evidence?: Evidence }

function record ({ outcome = 'done', tookMs = 10, access = 'read', evidence, ...start }: Fields = {}): AuditRecord {
  return AuditRecord.begin({
    id: 'r', at: NOW, session: 's', caller: 'app', pool: 'main', group: 'shop', config: 1, kind: 'write', class: 'normal', statement: 'X', deadlineMs: 100, ...start
  }).withAttempt({ endpoint: 'shop-1', access, startMs: 0, tookMs, outcome, reason: '', evidence }).withOutcome(outcome, tookMs)
}

function level (measure: ServiceLevel['measure'], more: Partial<ServiceLevel> = {}): ServiceLevel {
  return { name: measure, pool: 'main' as PoolId, measure, target: 0.99, ...more }
}

const applied = { token: '1:1', applied: '1:2' }
const read = (freshness: string, evidence?: Evidence, access: Fields['access'] = 'read'): Fields => ({ kind: 'read', freshness, evidence, access })

describe('classifyRequest', () => {
  it.each<[ServiceLevel['measure'], Fields, 'good' | 'bad' | undefined]>([
    ['urgentInTime', { class: 'urgent' }, 'good'],
    ['urgentInTime', { class: 'urgent', outcome: 'failed' }, 'good'],
    ['urgentInTime', { class: 'urgent', tookMs: 101 }, 'bad'],
    ['urgentInTime', { class: 'urgent', outcome: 'notRun' }, 'bad'],
    ['urgentInTime', {}, undefined],
    ['writesSucceed', {}, 'good'],
    ['writesSucceed', { kind: 'commit', outcome: 'unknown' }, 'bad'],
    ['writesSucceed', { outcome: 'notRun' }, 'bad'],
    ['writesSucceed', { outcome: 'failed' }, undefined],
    ['writesSucceed', { kind: 'read' }, undefined],
    ['writesSucceed', { pool: 'other' }, undefined],
    ['stalenessKept', read('session', { promise: 'readYourWrites', ...applied }), 'good'],
    ['stalenessKept', read('session'), 'bad'],
    ['stalenessKept', read('5000ms', { promise: 'age', ageMs: 4000, limitMs: 5000, ...applied }), 'good'],
    ['stalenessKept', read('5000ms', { promise: 'age', ageMs: 6000, limitMs: 9000, ...applied }), 'bad'],
    ['stalenessKept', read('5000ms', { promise: 'readYourWrites', ...applied }), 'bad'],
    ['stalenessKept', read('strict', { promise: 'strict' }, 'strict'), 'good'],
    ['stalenessKept', read('strict', { promise: 'readYourWrites', ...applied }), 'bad'],
    ['stalenessKept', read('session', undefined, 'transaction'), undefined],
    ['replicaShare', read('session'), 'good'],
    ['replicaShare', read('session', { promise: 'strict' }, 'strict'), 'bad'],
    ['replicaShare', read('strict', { promise: 'strict' }, 'strict'), undefined]
  ])('%s of %j is %s', (measure, fields, verdict) => {
    expect(classifyRequest(level(measure), record(fields))).toBe(verdict)
  })
})

describe('budgetOf', () => {
  it.each([
    [1000, 0, 0.99, 0, { burn: 0, left: 1 }],
    [1000, 10, 0.99, 0, { burn: 1, left: 0 }],
    [1000, 5, 0.999, 0, { burn: 5, left: -4 }],
    [90, 0, 0.9, 10, { burn: 0, left: 1, burnAtMost: 1 }]
  ])('of %d requests, %d bad, target %d, %d dropped', (events, bad, target, dropped, expected) => {
    const budget = budgetOf({ events, bad }, target, dropped)
    for (const [name, value] of Object.entries(expected)) expect(budget[name as keyof typeof expected]).toBeCloseTo(value, 9)
  })

  // Guards against a proxy whose records never reach the store: missing data must not count as success.
  it('has no burn and no budget without data', () => {
    expect(budgetOf({ events: 0, bad: 0 }, 0.99, 0)).toEqual({ events: 0, bad: 0 })
  })
})

describe('BurnReport', () => {
  const levels = [level('writesSucceed'), level('urgentInTime')]
  const counts = Counts.create(levels)
  const minutesAgo = (minutes: number, outcome: 'done' | 'notRun'): AuditRecord => record({ at: NOW - minutes * MINUTE_MS, outcome })
  counts.add([0, 4, 5, 59, 61, 359, 361, 4319].map(minutes => minutesAgo(minutes, 'done')), [])
  counts.add([1, 400, 4320, -1].map(minutes => minutesAgo(minutes, 'notRun')), [])
  const [filled, empty] = levels.map(one => MinuteCounts.create(one, NOW, BurnReport.spanMs)) as [MinuteCounts, MinuteCounts]
  filled.add(counts.minutesOf(0))
  empty.add(counts.minutesOf(1))
  const source = { now: NOW, oldest: NOW - 4319 * MINUTE_MS, records: 10, batchesRead: 2, batchesThere: 4, unreadable: ['k: damaged'], gaps: [{ count: 5, from: NOW - 90 * MINUTE_MS, to: NOW - 80 * MINUTE_MS }] }
  const report = BurnReport.of(source, [filled, empty])

  it('counts each window to the minute', () => {
    expect(report.levels[0]!.windows.map(({ name, events, bad, dropped, isPartial }) => ({ name, events, bad, dropped, isPartial }))).toEqual([
      { name: '5 min', events: 3, bad: 1, dropped: 0, isPartial: false },
      { name: '1 h', events: 5, bad: 1, dropped: 0, isPartial: false },
      { name: '6 h', events: 7, bad: 1, dropped: 5, isPartial: false },
      { name: '3 d', events: 10, bad: 2, dropped: 5, isPartial: true }
    ])
    expect(report.levels[0]!.minutes.at(-1)).toBeCloseTo(100 / 3, 9)
    expect(report.levels[0]!.hours.filter(burn => burn !== null).length).toBe(5)
  })

  it('counts the same after saving and restoring', () => {
    const restored = Counts.parse(levels, JSON.stringify(counts))!
    expect([restored.batches, restored.records, restored.oldest]).toEqual([2, 12, NOW - 4320 * MINUTE_MS])
    expect([...restored.minutesOf(0)]).toEqual([...counts.minutesOf(0)])
    expect(Counts.parse([levels[0]!], JSON.stringify(counts))).toBeUndefined()
    expect(Counts.parse(levels, '{"batches":')).toBeUndefined()
  })

  it('prints the source of the figures, and "no data" for empty windows', () => {
    const lines = burnTable(report, at => `T${(at - NOW) / MINUTE_MS}`).split('\n')
    expect(lines.slice(0, 4)).toEqual([
      'records from T-4319 to T0: 10 in 2 batches; 5 dropped by their processes',
      'only 2 of 4 batches were counted; run it again, or see --most',
      '* of this window only what came after T-4319 is known',
      'not counted: k: damaged'
    ])
    expect(lines.find(line => line.startsWith('urgentInTime'))).toMatch(/0 \|\s+0 \|\s+no data \|\s+no data$/)
    expect(lines.find(line => line.startsWith('writesSucceed'))).toMatch(/99% +\| 5 min +\| +3 \| +1 \| +33.33 \| +-3233.3%$/)
  })
})
