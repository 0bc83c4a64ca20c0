/** When hosts last began to issue with credit, as the store keeps it. */

import * as z from 'zod'
import { readJson } from '../../../core/readjson.ts'
import { clock } from '../clock.ts'
import type { RowStore } from '../membership/rowstore.ts'
import type { PoolMetrics } from '../metrics.ts'

interface Options {
  readonly store: RowStore
  readonly table: string
  /** The window in which operations are counted, in milliseconds. */
  readonly windowMs: number
  readonly metrics: PoolMetrics
  readonly signal: AbortSignal
}

/** `atMs`: what the store's clock showed. */
const shape = z.object({ atMs: z.number() })
/** A credit counts from an answer of the store to the acknowledgement of the row, which must not take longer. Milliseconds. */
const MAX_CLAIM_MS = 1000

/**
 * Guard against callers who are refused in the second after a power loss, although their teams have hardly asked for anything: an issuer
 * that starts anew doesn't know what its life before issued, so its buckets begin empty. A part of the tolerance covers what it may begin with, once in a window; that this is the first
 * time is what the store's row shows. So an issuer that is started again and again has its credit once, and without the store none.
 */
export class IssuerStarts {
  private constructor (private readonly options: Options) {}

  static create (options: Options): IssuerStarts {
    return new IssuerStarts(options)
  }

  /** Resolves with the places that may begin with their credit. */
  async claim (places: readonly number[]): Promise<readonly number[]> {
    const { store, table, windowMs, metrics, signal } = this.options
    const began = clock.now()
    metrics.storeCalls.inc({ call: 'read', table: 'shared', why: 'issuers' })
    const read = await store.read(table, signal)
    if (read.isErr()) return []
    const { rows, storeMs } = read.value
    const free = places.flatMap(place => {
      const row = rows.find(({ key }) => key === String(place))
      const last = shape.safeParse(readJson(row?.value ?? ''))
      const isFree = row?.value === undefined || (last.success && storeMs - last.data.atMs > windowMs + MAX_CLAIM_MS)
      return isFree ? [{ place, version: row?.value === undefined ? 0 : row.version }] : []
    })
    if (free.length === 0) return []
    metrics.storeCalls.inc({ call: 'write', table: 'shared', why: 'issuers' })
    const written = await store.change(free.map(({ place, version }) => ({ table, key: String(place), value: JSON.stringify({ atMs: storeMs }), expected: version })), signal)
    return written.isOk() && clock.now() - began < MAX_CLAIM_MS ? free.map(({ place }) => place) : []
  }
}
