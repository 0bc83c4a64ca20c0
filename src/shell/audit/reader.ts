/** Finds audit records in the object store. */

import { promisify } from 'node:util'
import { gunzip } from 'node:zlib'
import { err, ok, type Result } from 'neverthrow'
import type { AuditId } from '../../core/audit/id.ts'
import { Page } from '../../core/audit/page.ts'
import type { AuditRecord } from '../../core/audit/record.ts'
import type { ObjectStore } from '../platform/objectstore.ts'
import { digest } from './digest.ts'
import { BatchKey } from './batchkey.ts'

interface FoundRecord {
  readonly record: AuditRecord
  readonly key: string
  /** Inconsistencies found in its batch. */
  readonly problems: readonly string[]
}

interface BatchRead {
  readonly key: BatchKey
  readonly page: Result<Page, string>
}

const MAX_LISTED_KEYS = 1000
/** Maximum number of batches to search for a record, starting with the first one cut after the request arrived. */
const MAX_CANDIDATE_BATCHES = 100
/** Further hours to search for a record's batch; a request's deadline is far shorter. */
const EXTRA_HOURS = 1
const MAX_PARALLEL_READS = 16
const HOUR_MS = 3_600_000
const decompress = promisify(gunzip)

/** Reads the batches of all processes. Every method rejects if the store does not respond. */
export class AuditReader {
  private constructor (private readonly store: ObjectStore) {}

  static of (store: ObjectStore): AuditReader {
    return new AuditReader(store)
  }

  /** Finds a record by its id, usually with one list and one read. The error is a one-line explanation of why there is no record. */
  async find (id: AuditId): Promise<Result<FoundRecord, string>> {
    const keys = await this.candidateKeys(id)
    for (const key of keys.filter(one => one.mayContain(id))) {
      const page = await this.read(key)
      if (page.isErr()) return err(`${key.text}: ${page.error}`)
      const { records, problems } = page.value.fields
      const record = records.find(one => one.fields.id === id.toString())
      if (record !== undefined) return ok({ record, key: key.text, problems })
    }
    return err(await this.explainMissing(id, keys))
  }

  /** Keys of all batches cut from `from` to `to` (milliseconds since the epoch), hour by hour and grouped by process. */
  async keys (from: number, to: number): Promise<readonly BatchKey[]> {
    const keys: BatchKey[] = []
    for (const hour of BatchKey.hours(from, to)) keys.push(...await this.listAll(BatchKey.hourPrefix(hour)))
    return keys.filter(key => key.cutAt >= from && key.cutAt <= to)
  }

  /** Reads batches in the order of their keys, a few at a time. */
  async * batches (keys: readonly BatchKey[]): AsyncGenerator<BatchRead> {
    for (let i = 0; i < keys.length; i += MAX_PARALLEL_READS) {
      const chunk = keys.slice(i, i + MAX_PARALLEL_READS)
      yield * await Promise.all(chunk.map(async key => ({ key, page: await this.read(key) })))
    }
  }

  async readAll (keys: readonly BatchKey[]): Promise<readonly BatchRead[]> {
    const reads: BatchRead[] = []
    for await (const read of this.batches(keys)) reads.push(read)
    return reads
  }

  private async read (key: BatchKey): Promise<Result<Page, string>> {
    const body = await this.store.get(key.text)
    if (body === undefined) return err('the batch is missing from the store')
    const text = await decompress(body).then(String, () => undefined)
    if (text === undefined) return err('the batch is damaged: it cannot be decompressed')
    return Page.parse(digest, text).mapErr(problem => `the batch is damaged: ${problem}`)
  }

  private async candidateKeys ({ at, host, incarnation }: AuditId): Promise<readonly BatchKey[]> {
    const first = await this.list(BatchKey.processPrefix(at, host, incarnation), BatchKey.before(at, host, incarnation), MAX_CANDIDATE_BATCHES)
    if (first.length === MAX_CANDIDATE_BATCHES) return first
    const next = await Promise.all(Array.from({ length: EXTRA_HOURS }, async (_, i) =>
      await this.list(BatchKey.processPrefix(at + (i + 1) * HOUR_MS, host, incarnation), '', MAX_CANDIDATE_BATCHES)))
    return [...first, ...next.flat()]
  }

  /** Explains why a record is missing: dropped, deleted, not written yet or lost. */
  private async explainMissing (id: AuditId, after: readonly BatchKey[]): Promise<string> {
    for (const { page } of await this.readAll(after.slice(0, MAX_PARALLEL_READS))) {
      const gap = page.isOk() ? page.value.fields.gaps.find(one => one.from <= id.at && id.at <= one.to) : undefined
      if (gap !== undefined) return `no record: the process dropped ${gap.count} records around that time because its buffer was full`
    }
    const all = await this.listAll(BatchKey.processPrefix(id.at, id.host, id.incarnation))
    const missing = missingSequences([...all, ...after])
    if (missing.length > 0) return `no record: batch ${missing.join(', ')} of ${id.host}/${id.incarnation} is missing from the store`
    if (all.length + after.length === 0) return `no record: the store has no batch of ${id.host}/${id.incarnation} from that hour`
    return 'no record: it is not written yet (try again in a few seconds), or its process ended before it was'
  }

  private async listAll (prefix: string): Promise<readonly BatchKey[]> {
    const keys: BatchKey[] = []
    for (;;) {
      const page = await this.list(prefix, keys.at(-1)?.text ?? '', MAX_LISTED_KEYS)
      keys.push(...page)
      if (page.length < MAX_LISTED_KEYS) return keys
    }
  }

  private async list (prefix: string, after: string, most: number): Promise<readonly BatchKey[]> {
    return (await this.store.list(prefix, after, most)).flatMap(text => BatchKey.parse(text) ?? [])
  }
}

/** Sequence numbers missing between the first and the last of the batches of one process. */
function missingSequences (keys: readonly BatchKey[]): readonly number[] {
  const seen = new Set(keys.map(key => key.sequence))
  const least = Math.min(...seen)
  const most = Math.max(...seen)
  return Array.from({ length: Math.max(0, most - least) }, (_, i) => least + i).filter(sequence => !seen.has(sequence))
}
