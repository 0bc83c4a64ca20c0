/** When a batch is cut, what is dropped when memory is full, and that a drop is told. */

import { describe, expect, it } from 'vitest'
import { createHash } from 'node:crypto'
import type { HostId } from '../id/host.ts'
import type { Batch } from './batch.ts'
import { Batcher } from './batcher.ts'
import { AuditId } from './id.ts'
import { Page } from './page.ts'
import { AuditRecord } from './record.ts'
import { checkSequence } from './sequence.ts'

const host = 'host-1' as HostId
const incarnation = '0123456789ab'
const digest = (text: string): string => createHash('sha256').update(text).digest('base64url').slice(0, 22)

function record (count: number, at = count): AuditRecord {
  return AuditRecord.begin({
    id: AuditId.of(host, incarnation, at, count).toString(),
    at,
    session: 's',
    caller: 'app',
    pool: 'main',
    group: 'shop',
    config: 1,
    kind: 'write',
    class: 'normal',
    statement: 'INSERT INTO t VALUES (?)',
    deadlineMs: 5000
  }).withOutcome('done', 1)
}

function batcher (limits: object = {}): Batcher {
  return Batcher.create({ host, incarnation, digest, limits: { records: 2, bytes: 1e6, ageMs: 1000, bufferBytes: 1e6, ...limits } })
}

function page (batch: Batch): Page {
  return Page.parse(digest, batch.text)._unsafeUnwrap()
}

/** Three batches of two records, the last one closed. */
function threeBatches (): Batch[] {
  const it = batcher()
  const cut = [1, 2, 3, 4].flatMap(count => it.add(record(count), count) ?? [])
  it.add(record(5), 5)
  return [...cut, it.close(6)]
}

describe('Batcher', () => {
  it('cuts by count, by bytes and by age', () => {
    expect([1, 2, 3].map(count => batcherOf.add(record(count), 0)?.fields.lines.length)).toEqual([undefined, 2, undefined])
    expect(batcher({ bytes: 10 }).add(record(1), 0)?.fields.lines.length).toBe(1)
    const old = batcher()
    old.add(record(1), 500)
    expect([1499, 1500].map(now => old.tick(now)?.fields.lines.length)).toEqual([undefined, 1])
    expect(old.tick(9000)).toBeUndefined()
  })

  it.each([[1, [false, false, true]], [2, [false, true, true]]])('of %i records, where two are no longer few: cut after one second, two and four as %j', (records, expected) => {
    // A fleet of many hosts with little work each makes more calls to the store for its records than for anything else.
    // Each host cuts a batch as soon as its first record is old, however few others came.
    const isCut = [1000, 2000, 4000].map(now => {
      const it = batcher({ records: 100, ageMs: 2000, smallBatch: { records: 2, ageMs: 4000 } })
      for (let count = 1; count <= records; count++) it.add(record(count), 0)
      return it.tick(now) !== undefined
    })
    expect(isCut).toEqual(expected)
  })

  it('names the range of requests in a batch, also out of order', () => {
    const it = batcher()
    it.add(record(9), 0)
    expect(it.add(record(4), 0)?.fields).toMatchObject({ first: 4, last: 9, sequence: 1 })
  })

  // The host's clock is set back by an hour between a request and its batch. The id has the later time,
  // and explain looks for batches that were cut after it: the batch would never be found.
  it('cuts no batch before its records or the batch before', () => {
    const it = batcher()
    it.add(record(1, 5000), 5000)
    expect(it.add(record(2, 1400), 1400)?.fields.cutAt).toBe(5000)
    it.add(record(3, 1500), 1500)
    expect(it.close(1600).fields.cutAt).toBe(5000)
  })

  // An outage of the store: an operator asks later for a request of that time and finds nothing.
  // Memory is bounded, so records are dropped; the next batch has to say how many and of when.
  it('counts what it drops in an outage and says so in the next batch', () => {
    const size = JSON.stringify(record(1)).length
    const it = batcher({ bufferBytes: size * 2 + 100 })
    it.add(record(1), 1)
    const batch = it.add(record(2), 2)!
    for (const count of [3, 4, 5]) expect(it.add(record(count), count)).toBeUndefined()
    expect(it.dropped).toBe(3)
    expect(it.waiting).toBeLessThanOrEqual(size * 2 + 100)
    it.setBatchBytes(batch.fields.sequence, 10)
    expect(it.waiting).toBe(10)
    it.setBatchBytes(batch.fields.sequence, 0)
    it.tick(7)
    const next = page(it.add(record(8), 8)!)
    expect(next.fields.gaps).toEqual([{ count: 3, from: 3, to: 5 }])
    expect(next.fields.records.map(one => one.fields.at)).toEqual([8])
    expect(checkSequence(digest, [{ key: '1', page: page(batch) }, { key: '2', page: next }]).problems).toEqual([])
  })
})

const batcherOf = batcher()

// A regulator is shown records; someone with access to the store has changed one, taken one out or exchanged batches.
// The hashes that follow no longer fit.
describe('the chain', () => {
  const clean = threeBatches()
  const found = (texts: readonly string[]): readonly string[] => checkSequence(digest, texts.map((text, i) => ({
    key: `k${i}`, page: Page.parse(digest, text)._unsafeUnwrap()
  }))).problems
  const [a, b, c] = clean.map(batch => batch.text) as [string, string, string]

  it('holds for what was written, and ends closed', () => {
    expect(found([a, b, c])).toEqual([])
    expect(checkSequence(digest, clean.map((batch, i) => ({ key: `k${i}`, page: page(batch) }))).notes).toEqual([])
  })

  it.each([
    ['a doctored record', [a, b.replace('"outcome":"done"', '"outcome":"notRun"'), c], /k1: the hash of entry 1/],
    ['a removed record', [a, b.split('\n').toSpliced(1, 1).join('\n'), c], /k1: the hash of entry 1.*\n.*1 entries in place of 2/],
    ['a removed last record', [a, b.split('\n').toSpliced(2, 1).join('\n'), c], /1 entries in place of 2[^]*k2: it doesn't follow number 2/],
    ['a removed batch', [a, c], /k1: 1 before it missing/],
    ['swapped batches', [a, b.replace('"sequence":2', '"sequence":3'), c.replace('"sequence":3', '"sequence":2')].toSorted(bySequence), /exchanged/],
    ['a doctored first batch', [a.replace(/"previous":"[^"]*"/, '"previous":"x"'), b, c], /doesn't begin its process's chain/]
  ])('shows %s', (_, texts, problem) => {
    expect(found(texts).join('\n')).toMatch(problem)
  })

  it('refuses a batch that is cut short', () => {
    expect(Page.parse(digest, a.slice(0, -40))._unsafeUnwrapErr()).toMatch(/entry 2 is damaged/)
  })
})

function bySequence (x: string, y: string): number {
  return Number(/"sequence":(\d)/.exec(x)![1]) - Number(/"sequence":(\d)/.exec(y)![1])
}
