/** Records in the store when issuers last started with an initial credit. */

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

/** `atMs`: time of the start by the store's clock. */
const shape = z.object({ atMs: z.number() })
/** Longest time from reading the rows to the acknowledgement of the claim. */
const MAX_CLAIM_MS = 1000

/**
 * A restarted issuer doesn't know what it issued before, so its buckets start empty and its teams would be refused at first.
 * The tolerance of allowances covers an initial credit once per window. The store's row limits it to once for an issuer that
 * restarts repeatedly; without the store there is no credit.
 */
export class IssuerStarts {
  private constructor (private readonly options: Options) {}

  static create (options: Options): IssuerStarts {
    return new IssuerStarts(options)
  }

  /** Claims the credit of places; resolves with those that may start with it. */
  async claim (places: readonly number[]): Promise<readonly number[]> {
    const { store, table, windowMs, metrics, signal } = this.options
    const began = clock.now()
    metrics.storeCalls.inc({ call: 'read', table: 'shared', why: 'issuers' })
    const read = await store.read(table, signal)
    if (read.isErr()) return []
    const { rows, storeMs } = read.value
    const claimable = places.flatMap(place => {
      const row = rows.find(({ key }) => key === String(place))
      const last = shape.safeParse(readJson(row?.value ?? ''))
      const isFree = row?.value === undefined || (last.success && storeMs - last.data.atMs > windowMs + MAX_CLAIM_MS)
      return isFree ? [{ place, version: row?.value === undefined ? 0 : row.version }] : []
    })
    if (claimable.length === 0) return []
    metrics.storeCalls.inc({ call: 'write', table: 'shared', why: 'issuers' })
    const written = await store.change(claimable.map(({ place, version }) => ({ table, key: String(place), value: JSON.stringify({ atMs: storeMs }), expected: version })), signal)
    return written.isOk() && clock.now() - began < MAX_CLAIM_MS ? claimable.map(({ place }) => place) : []
  }
}
