/** Configuration versions in the platform's stores: rows in the table service, large documents in the object store. */

import { parseConfigRecord } from '../../core/config/configrecord.ts'
import type { ConfigVersion } from '../../core/id/version.ts'
import type { ObjectStore } from '../platform/objectstore.ts'
import type { Row } from '../platform/row.ts'
import type { TableService } from '../platform/tableservice.ts'
import type { Revision } from './revision.ts'

type ConfigRecord = Revision['record']

const PARTITION = 'config'
const VERSION_DIGITS = 12

/** Larger documents go to the object store: every poll reads the newest row, and rows are limited to 400 KB. */
const MAX_INLINE_BYTES = 65_536

/** Every method rejects if the store is down; a write may have taken effect nevertheless. */
export class ConfigStore {
  private constructor (private readonly table: TableService, private readonly objects: ObjectStore) {}

  static of (table: TableService, objects: ObjectStore): ConfigStore {
    return new ConfigStore(table, objects)
  }

  /** The newest version, if there is any. */
  async newest (): Promise<Revision | undefined> {
    return revisionOf(await this.table.newest(PARTITION))
  }

  async at (version: ConfigVersion): Promise<Revision | undefined> {
    return revisionOf(await this.table.get(PARTITION, keyOf(version)))
  }

  /** At most `most` versions above `after`, oldest first. */
  async list (after: ConfigVersion, most: number): Promise<readonly Revision[]> {
    const rows = await this.table.list(PARTITION, keyOf(after), most)
    return rows.map(row => revisionOf(row)!)
  }

  /** The whole document, as JSON. */
  async document ({ version, record }: Revision): Promise<string> {
    if (record.document !== undefined) return record.document
    const body = record.object === undefined ? undefined : await this.objects.get(record.object)
    if (body === undefined) throw new Error(`the document of version ${version} is missing from the object store; restore the bucket`)
    return new TextDecoder().decode(body)
  }

  /**
   * Creates the version, or returns `exists` and changes nothing. The object is
   * written before the row, so that a row never refers to a missing object. Its
   * key includes the patch's id, so that concurrent patches don't overwrite it.
   */
  async create (version: ConfigVersion, record: Omit<ConfigRecord, 'document' | 'object'>, document: string): Promise<'created' | 'exists'> {
    const bytes = new TextEncoder().encode(document)
    const isInline = bytes.length <= MAX_INLINE_BYTES
    const object = `config/${keyOf(version)}-${record.id}`
    if (!isInline) await this.objects.put(object, bytes)
    const body = JSON.stringify({ ...record, ...isInline ? { document } : { object } })
    return await this.table.create({ pk: PARTITION, sk: keyOf(version), revision: 1, body })
  }
}

function keyOf (version: ConfigVersion): string {
  return String(version).padStart(VERSION_DIGITS, '0')
}

function revisionOf (row: Row | undefined): Revision | undefined {
  if (row === undefined) return undefined
  const record = parseConfigRecord(row.body)
  if (record.isErr()) throw new Error(`version ${Number(row.sk)}: ${record.error}`)
  return { version: Number(row.sk) as ConfigVersion, record: record.value }
}
