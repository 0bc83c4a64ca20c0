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
  /** What doesn't agree in its batch. */
  readonly problems: readonly string[]
}

interface BatchRead {
  readonly key: BatchKey
  readonly page: Result<Page, string>
}

const MAX_LISTED_KEYS = 1000
/** Batches that may hold a record: those cut next after it arrived. */
const MAX_CANDIDATE_BATCHES = 100
/** Hours after its arrival in which a record's batch is looked for; a request's deadline is far shorter. */
const EXTRA_HOURS = 1
const MAX_PARALLEL_READS = 16
const HOUR_MS = 3_600_000
const expand = promisify(gunzip)

/** Reads the batches of all processes. Every method rejects when the store doesn't answer. */
export class AuditReader {
  private constructor (private readonly store: ObjectStore) {}

  static of (store: ObjectStore): AuditReader {
    return new AuditReader(store)
  }

  /** One list and one read, as a rule; the error says in a line why there is no record. */
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

  /** Keys of all batches cut from one time to another, in order of their processes. */
  async keys (from: number, to: number): Promise<readonly BatchKey[]> {
    const keys: BatchKey[] = []
    for (const hour of BatchKey.hours(from, to)) keys.push(...await this.listAll(BatchKey.hourPrefix(hour)))
    return keys.filter(key => key.cutAt >= from && key.cutAt <= to)
  }

  /** The batches of the keys, in their order, a few at a time. */
  async * batches (keys: readonly BatchKey[]): AsyncGenerator<BatchRead> {
    for (let i = 0; i < keys.length; i += MAX_PARALLEL_READS) {
      const some = keys.slice(i, i + MAX_PARALLEL_READS)
      yield * await Promise.all(some.map(async key => ({ key, page: await this.read(key) })))
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
    const text = await expand(body).then(String, () => undefined)
    if (text === undefined) return err('the batch is damaged: it can not be expanded')
    return Page.parse(digest, text).mapErr(problem => `the batch is damaged: ${problem}`)
  }

  private async candidateKeys ({ at, host, incarnation }: AuditId): Promise<readonly BatchKey[]> {
    const first = await this.list(BatchKey.processPrefix(at, host, incarnation), BatchKey.before(at, host, incarnation), MAX_CANDIDATE_BATCHES)
    if (first.length === MAX_CANDIDATE_BATCHES) return first
    const next = await Promise.all(Array.from({ length: EXTRA_HOURS }, async (_, i) =>
      await this.list(BatchKey.processPrefix(at + (i + 1) * HOUR_MS, host, incarnation), '', MAX_CANDIDATE_BATCHES)))
    return [...first, ...next.flat()]
  }

  /** A record that isn't there was dropped, was taken away, or never got to the store. */
  private async explainMissing (id: AuditId, after: readonly BatchKey[]): Promise<string> {
    for (const { page } of await this.readAll(after.slice(0, MAX_PARALLEL_READS))) {
      const gap = page.isOk() ? page.value.fields.gaps.find(one => one.from <= id.at && id.at <= one.to) : undefined
      if (gap !== undefined) return `no record: the process dropped ${gap.count} records around that time, for want of room`
    }
    const all = await this.listAll(BatchKey.processPrefix(id.at, id.host, id.incarnation))
    const missing = missingSequences([...all, ...after])
    if (missing.length > 0) return `no record: batch ${missing.join(', ')} of ${id.host}/${id.incarnation} is missing from the store`
    if (all.length + after.length === 0) return `no record: the store has no batch of ${id.host}/${id.incarnation} from that hour`
    return 'no record: it is not written yet (ask again in some seconds), or its process ended before it was'
  }

  private async listAll (prefix: string): Promise<readonly BatchKey[]> {
    const keys: BatchKey[] = []
    for (;;) {
      const some = await this.list(prefix, keys.at(-1)?.text ?? '', MAX_LISTED_KEYS)
      keys.push(...some)
      if (some.length < MAX_LISTED_KEYS) return keys
    }
  }

  private async list (prefix: string, after: string, most: number): Promise<readonly BatchKey[]> {
    return (await this.store.list(prefix, after, most)).flatMap(text => BatchKey.parse(text) ?? [])
  }
}

/** Numbers that are absent among the batches of one process. */
function missingSequences (keys: readonly BatchKey[]): readonly number[] {
  const seen = new Set(keys.map(key => key.sequence))
  const least = Math.min(...seen)
  const most = Math.max(...seen)
  return Array.from({ length: Math.max(0, most - least) }, (_, i) => least + i).filter(number => !seen.has(number))
}
