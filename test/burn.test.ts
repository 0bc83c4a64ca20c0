import { gzipSync } from 'node:zlib'
import { describe, expect, it } from 'vitest'
import { Batcher } from '../src/core/audit/batcher.ts'
import { AuditId } from '../src/core/audit/id.ts'
import { AuditRecord } from '../src/core/audit/record.ts'
import type { ServiceLevel } from '../src/core/burn/servicelevel.ts'
import type { HostId } from '../src/core/id/host.ts'
import type { PoolId } from '../src/core/id/pool.ts'
import { measureBurn } from '../src/shell/audit/burn.ts'
import { digest } from '../src/shell/audit/digest.ts'
import { BatchKey } from '../src/shell/audit/batchkey.ts'
import { AuditReader } from '../src/shell/audit/reader.ts'
import type { ObjectStore } from '../src/shell/platform/objectstore.ts'

const HOUR_MS = 3_600_000
const NOW = 500_000 * HOUR_MS + 30 * 60_000
const host = 'host-1' as HostId
const incarnation = '0123456789ab'
const levels: ServiceLevel[] = [{ name: 'writes', pool: 'main' as PoolId, measure: 'writesSucceed', target: 0.9 }]

/** An object store in memory that counts the batches that are read. */
class Store implements ObjectStore {
  readonly objects = new Map<string, Uint8Array>()
  batches = 0

  async put (key: string, body: Uint8Array): Promise<void> {
    this.objects.set(key, body)
  }

  async get (key: string): Promise<Uint8Array | undefined> {
    if (key.startsWith('audit/')) this.batches++
    return this.objects.get(key)
  }

  async list (prefix: string, after: string, most: number): Promise<readonly string[]> {
    return [...this.objects.keys()].filter(key => key.startsWith(prefix) && key > after).sort().slice(0, most)
  }
}

/** One process whose batches hold one record each, at these hours before the report. */
function batches (hoursAgo: readonly number[]): ReadonlyArray<readonly [string, Uint8Array]> {
  const batcher = Batcher.create({ host, incarnation, digest, limits: { records: 1, bytes: 1e6, ageMs: 1e6, bufferBytes: 1e6 } })
  return hoursAgo.map((hours, i) => {
    const at = NOW - hours * HOUR_MS
    const record = AuditRecord.begin({
      id: AuditId.of(host, incarnation, at, i + 1).toString(), at, session: 's', caller: 'app', pool: 'main', group: 'shop', config: 1, kind: 'write', class: 'normal', statement: 'X', deadlineMs: 1
    }).withOutcome('done', 1)
    const batch = batcher.add(record, at)!
    return [BatchKey.of(batch).text, gzipSync(batch.text)] as const
  })
}

async function measure (store: Store, most = 100): Promise<{ read: number, events: number, batchesRead: number, batchesThere: number, unreadable: number }> {
  store.batches = 0
  const { source, levels: [level] } = await measureBurn({ store, reader: AuditReader.of(store), levels, now: NOW, most })
  return { read: store.batches, events: level!.windows.at(-1)!.events, batchesRead: source.batchesRead, batchesThere: source.batchesThere, unreadable: source.unreadable.length }
}

describe('measureBurn', () => {
  it('reads the batches of an hour that is over once, and those of the running hour each time', async () => {
    const store = new Store()
    for (const [key, body] of batches([50, 50, 3, 0.1])) await store.put(key, body)
    expect(await measure(store)).toMatchObject({ read: 4, events: 4 })
    expect(await measure(store)).toMatchObject({ read: 1, events: 4, batchesRead: 4, batchesThere: 4 })
  })

  // The store was down for an hour; its batches came late, after a report had kept the hour's counts.
  // A report that trusted the kept counts would miss them for good.
  it('counts an hour anew when batches came late', async () => {
    const store = new Store()
    const [first, late, ...rest] = batches([50, 50, 3])
    for (const [key, body] of [first!, ...rest]) await store.put(key, body)
    expect(await measure(store)).toMatchObject({ read: 2, events: 2 })
    await store.put(...late!)
    expect(await measure(store)).toMatchObject({ read: 2, events: 3 })
  })

  it('goes further back with each report when it may not read all at once, and says what is missing', async () => {
    const store = new Store()
    for (const [key, body] of batches([30, 20, 10])) await store.put(key, body)
    expect(await measure(store, 2)).toEqual({ read: 2, events: 2, batchesRead: 2, batchesThere: 3, unreadable: 0 })
    expect(await measure(store, 2)).toEqual({ read: 1, events: 3, batchesRead: 3, batchesThere: 3, unreadable: 0 })
  })

  it('keeps nothing of an hour with a damaged batch', async () => {
    const store = new Store()
    const [[key, body], other] = batches([3, 3]) as [readonly [string, Uint8Array], readonly [string, Uint8Array]]
    await store.put(...other)
    await store.put(key, body.subarray(0, 30))
    expect(await measure(store)).toMatchObject({ events: 1, unreadable: 1 })
    await store.put(key, body)
    expect(await measure(store)).toMatchObject({ events: 2, unreadable: 0 })
  })
})
