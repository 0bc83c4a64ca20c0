/** The compressed copy of the configuration that lies in the store beside it, for hosts that start. */

import { deflateRawSync, inflateRawSync } from 'node:zlib'
import * as z from 'zod'
import type { Row } from '../../../core/pool/membership/row.ts'
import { readJson } from '../../../core/readjson.ts'
import type { PoolMetrics } from '../metrics.ts'
import type { RowStore } from './rowstore.ts'

interface Options {
  readonly store: RowStore
  readonly table: string
  readonly metrics: PoolMetrics
}

interface CopiedRows {
  readonly rows: readonly Row[]
  /** All changes up to it are in the rows. */
  readonly version: number
}

const HEAD = 'head'
const PART = 'part/'
/** A smaller configuration is read as it is: that is one call, and a hundredth of a second on the slowest link. Characters. */
const MIN_CHARACTERS = 32_768
/** A part fits a row of the store, 64 KB in base64; */
const PART_CHARACTERS = 40_000
/** and all parts one change of it, of a megabyte. A configuration that is larger still is read as it is. */
const MAX_PARTS = 16

/** `of`: which rows the parts hold; `version`: these rows are as new as that. */
const headShape = z.object({ of: z.number(), parts: z.int(), version: z.number() })
const partShape = z.object({ of: z.number(), text: z.string() })
const rowsShape = z.array(z.object({ key: z.string(), version: z.number(), value: z.string() }))

/**
 * Guard against a second without service after a power loss of all hosts: each read a configuration of 300 KB, which takes 0.4 s on a
 * link of 7 Mbit/s, where the copy takes 0.04 s. The copy alone proves nothing, so whoever
 * takes it asks the store what changed since the version that it's as new as; where the store doesn't know that any more, the whole is read.
 */
export class ConfigCopy {
  /** Which rows the parts in the store hold, as far as this host wrote them. */
  private written: number | undefined
  private count = 0
  private prefetched: Promise<readonly Row[]> | undefined

  private constructor (private readonly options: Options) {}

  static create (options: Options): ConfigCopy {
    return new ConfigCopy(options)
  }

  /** Asks for the copy beside the first question of a start: after a power loss of all hosts each way to the store that is saved is a twentieth of a second. */
  prefetch (signal: AbortSignal): void {
    const { store, table, metrics } = this.options
    metrics.storeCalls.inc({ call: 'read', table: 'config', why: 'copy' })
    this.prefetched = store.read(table, signal).then(read => read.match(({ rows }) => rows, () => []))
  }

  /** What the copy held at the start; undefined without one that can be used, and later, when the store may have forgotten what changed since. */
  async read (): Promise<CopiedRows | undefined> {
    const rows = await this.prefetched ?? []
    this.prefetched = undefined
    const head = parsed(headShape, rows.find(({ key }) => key === HEAD))
    const parts = rows.filter(({ key }) => key.startsWith(PART)).sort((a, b) => indexOf(a) - indexOf(b)).flatMap(row => parsed(partShape, row) ?? []).filter(({ of }) => of === head?.of)
    if (head === undefined || parts.length !== head.parts) return undefined
    const decoded = rowsShape.safeParse(readJson(unpack(parts.map(({ text }) => text).join(''))))
    return decoded.success ? { rows: decoded.data, version: head.version } : undefined
  }

  /** Keeps the copy; false when it isn't known whether the store has it. Without a call where none is needed. */
  async write ({ rows, version }: CopiedRows, signal: AbortSignal): Promise<boolean> {
    const { store, table, metrics } = this.options
    const of = Math.max(0, ...rows.map(row => row.version))
    const isNew = of !== this.written
    const parts = isNew ? partsOf(rows) : []
    if (isNew && parts.length === 0) return true
    const count = isNew ? parts.length : this.count
    metrics.storeCalls.inc({ call: 'write', table: 'config', why: 'copy' })
    const changed = await store.change([
      { table, key: HEAD, value: JSON.stringify({ of, parts: count, version }) },
      ...parts.map((text, i) => ({ table, key: `${PART}${i}`, value: JSON.stringify({ of, text }) }))
    ], signal)
    this.written = changed.isOk() ? of : undefined
    this.count = count
    return changed.isOk()
  }
}

/** None for a configuration that is read as it is. */
function partsOf (rows: readonly Row[]): readonly string[] {
  const text = JSON.stringify(rows)
  if (text.length < MIN_CHARACTERS) return []
  const packed = deflateRawSync(text).toString('base64')
  const count = Math.ceil(packed.length / PART_CHARACTERS)
  return count > MAX_PARTS ? [] : Array.from({ length: count }, (_, i) => packed.slice(i * PART_CHARACTERS, (i + 1) * PART_CHARACTERS))
}

function parsed<T> (shape: z.ZodType<T>, row: Row | undefined): T | undefined {
  const result = shape.safeParse(readJson(row?.value ?? ''))
  return result.success ? result.data : undefined
}

function indexOf ({ key }: Row): number {
  return Number(key.slice(PART.length))
}

/** Nothing for bytes that are cut or foreign: the copy is then not used. */
function unpack (text: string): string {
  try {
    return inflateRawSync(Buffer.from(text, 'base64')).toString('utf8')
  } catch {
    return ''
  }
}
