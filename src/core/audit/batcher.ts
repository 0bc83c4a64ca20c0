/**
 * Collects audit records and decides when a batch is cut. When the buffer is
 * full it drops the newest records, which leaves the hash chain of the kept ones
 * intact, and adds an entry that counts what was dropped.
 */

import type { HostId } from '../id/host.ts'
import { AuditId } from './id.ts'
import { Batch } from './batch.ts'
import { Chain } from './chain.ts'
import type { AuditRecord } from './record.ts'

interface Limits {
  /** Cut a batch at this many records. */
  readonly records: number
  /** Cut a batch at this many characters. */
  readonly bytes: number
  /** Cut a batch when its first entry is this old. */
  readonly ageMs: number
  /** A batch with fewer records than these waits for this age instead, so that hosts with little work write fewer batches. */
  readonly smallBatch?: { readonly records: number, readonly ageMs: number }
  /** Limit on the characters of the open batch plus the bytes of cut ones that aren't stored yet. */
  readonly bufferBytes: number
}

interface Gap {
  readonly count: number
  readonly from: number
  readonly to: number
}

interface Options {
  readonly host: HostId
  readonly incarnation: string
  readonly digest: Parameters<typeof Chain.begin>[0]
  readonly limits: Limits
}

/** Holds the open batch. Mutable, since every request adds to it. */
export class Batcher {
  private chain: Chain
  private previous: string
  private lines: string[] = []
  private firstEntryAt = 0
  private sequence = 0
  private first = 0
  private last = 0
  private newest = 0
  private openBytes = 0
  /** Bytes of each cut batch that isn't stored yet, by sequence number. */
  private readonly batchBytes = new Map<number, number>()
  private cutBytes = 0
  private gap: Gap | undefined
  private droppedCount = 0

  private constructor (private readonly options: Options) {
    const { digest, host, incarnation } = options
    this.chain = Chain.begin(digest, host, incarnation)
    this.previous = this.chain.last
  }

  static create (options: Options): Batcher {
    return new Batcher(options)
  }

  /** Records dropped since the process started. */
  get dropped (): number {
    return this.droppedCount
  }

  /** Characters of the open batch plus bytes of the cut ones. */
  get waiting (): number {
    return this.openBytes + this.cutBytes
  }

  /** Adds a record; returns the batch if the record fills it. */
  add (record: AuditRecord, now: number): Batch | undefined {
    const text = JSON.stringify(record)
    if (this.waiting + text.length > this.options.limits.bufferBytes) {
      this.drop(record.fields.at)
      return undefined
    }
    this.appendGap(now)
    this.append(`"record":${text}`, now)
    const { count } = AuditId.parse(record.fields.id)!
    this.first = this.first === 0 ? count : Math.min(this.first, count)
    this.last = Math.max(this.last, count)
    this.newest = Math.max(this.newest, record.fields.at)
    return this.isFull ? this.cutBatch(now) : undefined
  }

  /** Returns the open batch if it's old enough. A clock that was set back counts as old enough. */
  tick (now: number): Batch | undefined {
    const { bufferBytes } = this.options.limits
    if (this.waiting < bufferBytes / 2) this.appendGap(now)
    const age = now - this.firstEntryAt
    const isDue = this.lines.length > 0 && (age >= this.maxAgeMs || age < 0)
    return isDue ? this.cutBatch(now) : undefined
  }

  /** Returns the last batch of the process, which ends with an entry that closes the chain. */
  close (now: number): Batch {
    this.appendGap(now)
    this.append('"closed":true', now)
    return this.cutBatch(now)
  }

  /** Sets the buffered size of a cut batch: smaller once it's compressed, 0 once it's stored. */
  setBatchBytes (sequence: number, bytes: number): void {
    this.cutBytes += bytes - (this.batchBytes.get(sequence) ?? 0)
    if (bytes === 0) this.batchBytes.delete(sequence)
    else this.batchBytes.set(sequence, bytes)
  }

  private get isFull (): boolean {
    const { records, bytes } = this.options.limits
    return this.lines.length >= records || this.openBytes >= bytes
  }

  /** The maximum age of the open batch. */
  private get maxAgeMs (): number {
    const { ageMs, smallBatch: few } = this.options.limits
    return few !== undefined && this.lines.length < few.records ? few.ageMs : ageMs
  }

  private drop (at: number): void {
    this.droppedCount++
    const { gap } = this
    this.gap = gap === undefined
      ? { count: 1, from: at, to: at }
      : { count: gap.count + 1, from: Math.min(gap.from, at), to: Math.max(gap.to, at) }
  }

  private appendGap (now: number): void {
    const { gap } = this
    if (gap === undefined) return
    this.gap = undefined
    this.append(`"dropped":${JSON.stringify(gap)}`, now)
  }

  private append (body: string, now: number): void {
    if (this.lines.length === 0) this.firstEntryAt = now
    this.chain = this.chain.with(body)
    const line = `{"hash":"${this.chain.last}",${body}}`
    this.lines.push(line)
    this.openBytes += line.length
  }

  private cutBatch (now: number): Batch {
    const { host, incarnation } = this.options
    const { previous, lines, first, last } = this
    const hash = this.chain.last
    // A batch is searched for by time, so it's never dated before its records or the previous batch, even if the clock was set back.
    const cutAt = this.newest = Math.max(now, this.newest)
    const batch = Batch.of({ host, incarnation, sequence: ++this.sequence, cutAt, first, last, previous, lines, hash })
    this.previous = hash
    this.lines = []
    this.first = 0
    this.last = 0
    this.setBatchBytes(this.sequence, this.openBytes)
    this.openBytes = 0
    return batch
  }
}
