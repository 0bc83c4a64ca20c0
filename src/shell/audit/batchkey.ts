/**
 * The key of a batch: `audit/date/hour/host/incarnation/cut-sequence-first-last.jsonl.gz`.
 *
 * Date and hour allow lookups by time. A record is looked up by its id: the
 * keys of its host and incarnation, cut at the id's time or later, give the
 * first and last request number of each batch.
 */

import type { Batch } from '../../core/audit/batch.ts'
import type { AuditId } from '../../core/audit/id.ts'

const HOUR_MS = 3_600_000
const TIME_DIGITS = 13
const KEY_PATTERN = /^audit\/[\d-]+\/\d\d\/([^/]+)\/([0-9a-f]+)\/(\d{13})-(\d{9})-(\d+)-(\d+)\.jsonl\.gz$/

/** A batch's key in the store, parsed. Immutable. */
export class BatchKey {
  private constructor (
    readonly text: string,
    readonly host: string,
    readonly incarnation: string,
    /** Milliseconds since the epoch. */
    readonly cutAt: number,
    readonly sequence: number,
    readonly first: number,
    readonly last: number
  ) {}

  static of ({ fields: { host, incarnation, cutAt, sequence, first, last } }: Batch): BatchKey {
    const prefix = BatchKey.processPrefix(cutAt, host, incarnation)
    const text = `${prefix}${padTime(cutAt)}-${String(sequence).padStart(9, '0')}-${first}-${last}.jsonl.gz`
    return new BatchKey(text, host, incarnation, cutAt, sequence, first, last)
  }

  /** Undefined if the text is not the key of a batch. */
  static parse (text: string): BatchKey | undefined {
    const match = KEY_PATTERN.exec(text)
    if (match === null) return undefined
    const [, host, incarnation, ...numbers] = match
    const [cutAt, sequence, first, last] = numbers.map(Number) as [number, number, number, number]
    return new BatchKey(text, decodeURIComponent(host!), incarnation!, cutAt, sequence, first, last)
  }

  /** Common prefix of the keys of an hour's batches. */
  static hourPrefix (at: number): string {
    const [date, time] = new Date(at).toISOString().split('T')
    return `audit/${date}/${time!.slice(0, 2)}/`
  }

  /** Common prefix of the keys of one process's batches of an hour. */
  static processPrefix (at: number, host: string, incarnation: string): string {
    return `${BatchKey.hourPrefix(at)}${encodeURIComponent(host)}/${incarnation}/`
  }

  /** Start key for listing the batches that the process cut at `at` or later in that hour. */
  static before (at: number, host: string, incarnation: string): string {
    return BatchKey.processPrefix(at, host, incarnation) + padTime(at)
  }

  /** Start times of all hours from `from` to `to`, inclusive. */
  static hours (from: number, to: number): readonly number[] {
    const start = Math.floor(from / HOUR_MS)
    const count = Math.max(0, Math.floor(to / HOUR_MS) - start + 1)
    return Array.from({ length: count }, (_, i) => (start + i) * HOUR_MS)
  }

  /** Whether the batch's range of request numbers includes the record's. */
  mayContain (id: AuditId): boolean {
    return this.first > 0 && this.first <= id.count && id.count <= this.last
  }
}

function padTime (at: number): string {
  return String(at).padStart(TIME_DIGITS, '0')
}
