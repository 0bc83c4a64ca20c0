/** When a batch is cut, which records are dropped when the buffer is full, and that the hash chain shows drops and changes. */

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

/** Three batches: two with two records each, and one with a record and the closing entry. */
function threeBatches (): Batch[] {
  const current = batcher()
  const cut = [1, 2, 3, 4].flatMap(count => current.add(record(count), count) ?? [])
  current.add(record(5), 5)
  return [...cut, current.close(6)]
}

describe('Batcher', () => {
  it('cuts by count, by bytes and by age', () => {
    expect([1, 2, 3].map(count => sharedBatcher.add(record(count), 0)?.fields.lines.length)).toEqual([undefined, 2, undefined])
    expect(batcher({ bytes: 10 }).add(record(1), 0)?.fields.lines.length).toBe(1)
    const old = batcher()
    old.add(record(1), 500)
    expect([1499, 1500].map(now => old.tick(now)?.fields.lines.length)).toEqual([undefined, 1])
    expect(old.tick(9000)).toBeUndefined()
  })

  it.each([[1, [false, false, true]], [2, [false, true, true]]])('cuts a batch of %i records after 1, 2 and 4 s: %j (a small one waits longer)', (records, expected) => {
    // Guards against hosts with little work that write many small batches: a small batch waits for the longer age.
    const isCut = [1000, 2000, 4000].map(now => {
      const current = batcher({ records: 100, ageMs: 2000, smallBatch: { records: 2, ageMs: 4000 } })
      for (let count = 1; count <= records; count++) current.add(record(count), 0)
      return current.tick(now) !== undefined
    })
    expect(isCut).toEqual(expected)
  })

  it('names the range of requests in a batch, also out of order', () => {
    const current = batcher()
    current.add(record(9), 0)
    expect(current.add(record(4), 0)?.fields).toMatchObject({ first: 4, last: 9, sequence: 1 })
  })

  // Guards against a clock that is set back between a request and its batch: the batch would not be found by the request's time.
  it('never dates a batch earlier than its records or the previous batch', () => {
    const current = batcher()
    current.add(record(1, 5000), 5000)
    expect(current.add(record(2, 1400), 1400)?.fields.cutAt).toBe(5000)
    current.add(record(3, 1500), 1500)
    expect(current.close(1600).fields.cutAt).toBe(5000)
  })

  // Guards against records that are missing without a trace after an outage of the store.
  it('counts dropped records and lists them in the next batch', () => {
    const size = JSON.stringify(record(1)).length
    const current = batcher({ bufferBytes: size * 2 + 100 })
    current.add(record(1), 1)
    const batch = current.add(record(2), 2)!
    for (const count of [3, 4, 5]) expect(current.add(record(count), count)).toBeUndefined()
    expect(current.dropped).toBe(3)
    expect(current.waiting).toBeLessThanOrEqual(size * 2 + 100)
    current.setBatchBytes(batch.fields.sequence, 10)
    expect(current.waiting).toBe(10)
    current.setBatchBytes(batch.fields.sequence, 0)
    current.tick(7)
    const next = page(current.add(record(8), 8)!)
    expect(next.fields.gaps).toEqual([{ count: 3, from: 3, to: 5 }])
    expect(next.fields.records.map(one => one.fields.at)).toEqual([8])
    expect(checkSequence(digest, [{ key: '1', page: page(batch) }, { key: '2', page: next }]).problems).toEqual([])
  })
})

const sharedBatcher = batcher()

// Guards against changed, removed or exchanged records: the hashes after them no longer match.
describe('the chain', () => {
  const clean = threeBatches()
  const found = (texts: readonly string[]): readonly string[] => checkSequence(digest, texts.map((text, i) => ({
    key: `k${i}`, page: Page.parse(digest, text)._unsafeUnwrap()
  }))).problems
  const [a, b, c] = clean.map(batch => batch.text) as [string, string, string]

  it('verifies what was written, and ends closed', () => {
    expect(found([a, b, c])).toEqual([])
    expect(checkSequence(digest, clean.map((batch, i) => ({ key: `k${i}`, page: page(batch) }))).notes).toEqual([])
  })

  it.each([
    ['a changed record', [a, b.replace('"outcome":"done"', '"outcome":"notRun"'), c], /k1: the hash of entry 1/],
    ['a removed record', [a, b.split('\n').toSpliced(1, 1).join('\n'), c], /k1: the hash of entry 1.*\n.*1 entries in place of 2/],
    ['a removed last record', [a, b.split('\n').toSpliced(2, 1).join('\n'), c], /1 entries in place of 2[^]*k2: it doesn't follow number 2/],
    ['a removed batch', [a, c], /k1: 1 before it missing/],
    ['swapped batches', [a, b.replace('"sequence":2', '"sequence":3'), c.replace('"sequence":3', '"sequence":2')].toSorted(bySequence), /exchanged/],
    ['a changed first batch', [a.replace(/"previous":"[^"]*"/, '"previous":"x"'), b, c], /doesn't begin its process's chain/]
  ])('shows %s', (_, texts, problem) => {
    expect(found(texts).join('\n')).toMatch(problem)
  })

  it('refuses a truncated batch', () => {
    expect(Page.parse(digest, a.slice(0, -40))._unsafeUnwrapErr()).toMatch(/entry 2 is damaged/)
  })
})

function bySequence (x: string, y: string): number {
  return Number(/"sequence":(\d)/.exec(x)![1]) - Number(/"sequence":(\d)/.exec(y)![1])
}
