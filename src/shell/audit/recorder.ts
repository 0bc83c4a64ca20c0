/** Records the requests of a process and brings the records to the object store in batches. */

import { promisify } from 'node:util'
import { gzip } from 'node:zlib'
import type { Batch } from '../../core/audit/batch.ts'
import { Batcher } from '../../core/audit/batcher.ts'
import { fingerprint } from '../../core/audit/fingerprint.ts'
import { AuditId } from '../../core/audit/id.ts'
import { AuditRecord } from '../../core/audit/record.ts'
import type { HostId } from '../../core/id/host.ts'
import type { Instant } from '../../core/id/instant.ts'
import type { ConfigVersion } from '../../core/id/version.ts'
import { freshnessOf } from '../caller/freshness.ts'
import type { Log } from '../log/log.ts'
import type { Metrics } from '../metrics/metrics.ts'
import type { ObjectStore } from '../platform/objectstore.ts'
import type { Audit } from './audit.ts'
import { digest } from './digest.ts'
import { BatchKey } from './key.ts'
import { RequestTrail } from './trail.ts'

interface Options {
  readonly host: HostId
  /** Twelve hexadecimal digits, new for each run of the process. */
  readonly incarnation: string
  readonly store: ObjectStore
  readonly limits: Parameters<typeof Batcher.create>[0]['limits']
  readonly configVersion: () => ConfigVersion | undefined
  readonly now: () => Instant
  readonly log: Log
  readonly metrics: Metrics
}

/** A cut batch, compressed: an outage of the store then fits into a tenth of the memory. */
interface Packed {
  readonly key: string
  readonly sequence: number
  readonly entries: number
  readonly hash: string
  readonly body: Buffer
}

const TICKS_PER_AGE = 4
const RETRY_MS = 500
const compress = promisify(gzip)

/** Audits all requests until the signal is aborted. */
export class Recorder implements Audit {
  private readonly batcher: Batcher
  private readonly queue: Packed[] = []
  private packing: Promise<void> = Promise.resolve()
  private storing: Promise<void> | undefined
  private count = 0
  private reported = 0
  private isFailing = false
  private isClosed = false

  private constructor (private readonly options: Options, private readonly signal: AbortSignal) {
    const { host, incarnation, limits } = options
    this.batcher = Batcher.create({ host, incarnation, limits, digest })
  }

  static start (options: Options, signal: AbortSignal): Recorder {
    const it = new Recorder(options, signal)
    const ticker = setInterval(() => it.tick(), options.limits.ageMs / TICKS_PER_AGE)
    signal.addEventListener('abort', () => clearInterval(ticker), { once: true })
    return it
  }

  begin ({ sql, kind, identity, hints, once, deadline }: Parameters<Audit['begin']>[0]): ReturnType<Audit['begin']> {
    const { host, incarnation, now, configVersion } = this.options
    const { pool, group, caller, session } = identity
    const { fields } = hints
    const at = Date.now()
    const began = now()
    const record = AuditRecord.begin({
      id: AuditId.of(host, incarnation, at, ++this.count).toString(),
      at,
      session: fields.session ?? session,
      caller,
      pool: pool.id,
      group: group.id,
      config: configVersion() ?? 0,
      kind,
      read: kind === 'read' ? fields.read : undefined,
      freshness: kind === 'read' ? textOf(freshnessOf(identity, hints)) : undefined,
      class: fields.class ?? 'normal',
      once: once === '' ? undefined : once,
      statement: fingerprint(sql),
      deadlineMs: Math.round(deadline - began)
    })
    return RequestTrail.begin({ record, began, now, keep: one => this.keep(one) })
  }

  async flush (ms: number): Promise<void> {
    if (this.isClosed) return
    this.isClosed = true
    this.enqueue(this.batcher.close(Date.now()))
    const all = this.packing.then(async () => await this.storing)
    await Promise.race([all, pause(ms)])
    const lost = this.queue.reduce((sum, batch) => sum + batch.entries, 0)
    if (lost === 0) return
    this.options.metrics.auditDropped.inc(lost)
    this.options.log.write('recordsLost', { count: lost })
  }

  private keep (record: AuditRecord): void {
    const { metrics } = this.options
    if (this.isClosed) return metrics.auditDropped.inc()
    metrics.auditRecords.inc()
    this.enqueue(this.batcher.add(record, Date.now()))
  }

  private tick (): void {
    const { metrics, log } = this.options
    this.enqueue(this.batcher.tick(Date.now()))
    metrics.auditWaiting.set(this.batcher.waiting)
    const count = this.batcher.dropped - this.reported
    if (count === 0) return
    this.reported += count
    metrics.auditDropped.inc(count)
    log.write('recordsDropped', { count })
  }

  /** Batches are packed and stored one after the other, so that one is in the store before the one that names it as previous. */
  private enqueue (batch: Batch | undefined): void {
    if (batch === undefined) return
    this.packing = this.packing.then(async () => {
      this.queue.push(await pack(batch))
      this.batcher.holds(batch.fields.sequence, this.queue.at(-1)!.body.length)
      this.storing ??= this.storeAll().finally(() => { this.storing = undefined })
    })
  }

  private async storeAll (): Promise<void> {
    while (this.queue.length > 0 && !this.signal.aborted) {
      if (await this.store(this.queue[0]!)) this.queue.shift()
      else await pause(RETRY_MS)
    }
  }

  /** A put whose answer was lost is repeated: the same bytes under the same key. */
  private async store ({ key, sequence, entries, hash, body }: Packed): Promise<boolean> {
    const { store, log, metrics } = this.options
    try {
      await store.put(key, body)
      this.batcher.holds(sequence, 0)
      metrics.auditBatches.inc()
      metrics.auditBytes.inc(body.length)
      log.write('batchStored', { key, entries, bytes: body.length, hash })
      this.isFailing = false
      return true
    } catch (err) {
      if (!this.isFailing) log.write('batchFailed', { err: (err as Error).message })
      this.isFailing = true
      return false
    }
  }
}

async function pack (batch: Batch): Promise<Packed> {
  const { sequence, lines, hash } = batch.fields
  return { key: BatchKey.of(batch).text, sequence, entries: lines.length, hash, body: await compress(batch.text) }
}

function textOf (freshness: ReturnType<typeof freshnessOf>): string {
  return freshness.kind === 'age' ? `${freshness.ms}ms` : freshness.kind
}

async function pause (ms: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, ms) })
}
