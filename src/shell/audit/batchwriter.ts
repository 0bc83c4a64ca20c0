/** Writes the audit records of a process to the object store, in batches and in order. */

import { promisify } from 'node:util'
import { gzip } from 'node:zlib'
import type { Batch } from '../../core/audit/batch.ts'
import { Batcher } from '../../core/audit/batcher.ts'
import type { AuditRecord } from '../../core/audit/record.ts'
import type { HostId } from '../../core/id/host.ts'
import type { Log } from '../log/log.ts'
import type { BoundedStore } from '../platform/boundedstore.ts'
import type { ObjectStore } from '../platform/objectstore.ts'
import { StoreFullError } from '../platform/storefullerror.ts'
import { digest } from './digest.ts'
import { BatchKey } from './batchkey.ts'
import type { auditMetrics } from './metrics.ts'

interface Options {
  readonly host: HostId
  /** Twelve hexadecimal digits that identify this run of the process. */
  readonly incarnation: string
  /** When a bounded store is full, its oldest batches are dropped. */
  readonly store: ObjectStore | BoundedStore
  readonly limits: Parameters<typeof Batcher.create>[0]['limits']
  readonly log: Log
  readonly metrics: { readonly audit: ReturnType<typeof auditMetrics> }
}

/** A complete batch, compressed to save memory while the store is unavailable. */
interface PackedBatch {
  readonly key: string
  readonly sequence: number
  readonly entries: number
  readonly hash: string
  readonly body: Buffer
}

const TICKS_PER_BATCH_AGE = 4
const RETRY_DELAY_MS = 500
/** Dropping many batches at once keeps a full store from filling up again with the next batch. */
const BATCHES_PER_DROP = 100
const AUDIT_PREFIX = 'audit/'
const compress = promisify(gzip)

/** Buffers records, cuts them into batches and stores these in order, retrying each until the store accepts it. */
export class BatchWriter {
  private readonly batcher: Batcher
  private readonly queue: PackedBatch[] = []
  private packing: Promise<void> = Promise.resolve()
  private storing: Promise<void> | undefined
  private reportedDrops = 0
  private isFailing = false
  private isClosed = false

  private constructor (private readonly options: Options, private readonly signal: AbortSignal) {
    const { host, incarnation, limits } = options
    this.batcher = Batcher.create({ host, incarnation, limits, digest })
  }

  static start (options: Options, signal: AbortSignal): BatchWriter {
    const writer = new BatchWriter(options, signal)
    const ticker = setInterval(() => writer.tick(), options.limits.ageMs / TICKS_PER_BATCH_AGE)
    ticker.unref()
    signal.addEventListener('abort', () => clearInterval(ticker), { once: true })
    return writer
  }

  /** Buffers a record; counts it as dropped after `flush`. */
  add (record: AuditRecord): void {
    const { metrics } = this.options
    if (this.isClosed) return metrics.audit.dropped.inc()
    metrics.audit.records.inc()
    this.enqueue(this.batcher.add(record, Date.now()))
  }

  /** Writes the buffered records and ends the process's chain of batches; resolves within `ms`, even if the store is down. */
  async flush (ms: number): Promise<void> {
    if (this.isClosed) return
    this.isClosed = true
    this.enqueue(this.batcher.close(Date.now()))
    const allStored = this.packing.then(async () => await this.storing)
    await Promise.race([allStored, pause(ms)])
    const lost = this.queue.reduce((sum, batch) => sum + batch.entries, 0)
    if (lost === 0) return
    this.options.metrics.audit.dropped.inc(lost)
    this.options.log.write('recordsLost', { count: lost })
  }

  private tick (): void {
    const { metrics, log } = this.options
    this.enqueue(this.batcher.tick(Date.now()))
    metrics.audit.waiting.set(this.batcher.waiting)
    const count = this.batcher.dropped - this.reportedDrops
    if (count === 0) return
    this.reportedDrops += count
    metrics.audit.dropped.inc(count)
    log.write('recordsDropped', { count })
  }

  /** Packs and stores batches one after the other: a batch must be in the store before the next one, which refers to it as previous. */
  private enqueue (batch: Batch | undefined): void {
    if (batch === undefined) return
    this.packing = this.packing.then(async () => {
      this.queue.push(await pack(batch))
      this.batcher.setBatchBytes(batch.fields.sequence, this.queue.at(-1)!.body.length)
      this.storing ??= this.storeAll().finally(() => { this.storing = undefined })
    })
  }

  private async storeAll (): Promise<void> {
    while (this.queue.length > 0 && !this.signal.aborted) {
      if (await this.store(this.queue[0]!)) this.queue.shift()
      else await pause(RETRY_DELAY_MS)
    }
  }

  /** Returns whether the batch was stored. Safe to repeat after a lost response: the same bytes go to the same key. */
  private async store ({ key, sequence, entries, hash, body }: PackedBatch): Promise<boolean> {
    const { store, log, metrics } = this.options
    try {
      await store.put(key, body)
      this.batcher.setBatchBytes(sequence, 0)
      metrics.audit.batches.inc()
      metrics.audit.bytes.inc(body.length)
      log.write('batchStored', { key, entries, bytes: body.length, hash })
      this.isFailing = false
      return true
    } catch (err) {
      if (!this.isFailing) log.write('batchFailed', { err: (err as Error).message })
      this.isFailing = true
      if (err instanceof StoreFullError && 'drop' in store) await this.makeRoom(store)
      return false
    }
  }

  /** Drops the oldest batches of all hosts, so that a full store does not stop recording for good. Keys begin with the time, so the first ones listed are the oldest. */
  private async makeRoom (store: BoundedStore): Promise<void> {
    const { log, metrics } = this.options
    try {
      const oldest = await store.list(AUDIT_PREFIX, '', BATCHES_PER_DROP)
      for (const key of oldest) await store.drop(key)
      metrics.audit.removed.inc(oldest.length)
      log.write('batchesRemoved', { batches: oldest.length, newest: oldest.at(-1) ?? 'none' })
    } catch (err) {
      log.write('batchFailed', { err: (err as Error).message })
    }
  }
}

async function pack (batch: Batch): Promise<PackedBatch> {
  const { sequence, lines, hash } = batch.fields
  return { key: BatchKey.of(batch).text, sequence, entries: lines.length, hash, body: await compress(batch.text) }
}

async function pause (ms: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, ms) })
}
