/** Follows one table of the store: all of it once, then its changes. */

import { setTimeout as pause } from 'node:timers/promises'
import { backoff } from '../../../core/membership/backoff.ts'
import type { Log } from '../../log/log.ts'
import type { PoolMetrics } from '../metrics.ts'
import type { RowStore } from './rows.ts'
import type { Row } from './row.ts'

interface Options {
  readonly store: RowStore
  readonly table: string
  /** The longest that the store holds a question open: a connection that went silent is found a little later. Milliseconds. */
  readonly waitMs: number
  readonly log: Log
  readonly metrics: PoolMetrics
  readonly chance: () => number
  /** `isWhole`: the rows are all there are; else they are changes, in order. */
  readonly onRows: (rows: readonly Row[], isWhole: boolean) => void
  /** Told after each question whether the store answered. */
  readonly onAnswered?: (isAnswered: boolean) => void
}

/** Between tries while the store fails: soon enough for a new version to be in force in time, rare enough for 2,000 hosts. */
const RETRY = { firstMs: 100, mostMs: 1000 }

/** Runs until the signal; what was learnt stays in use while the store is away. */
export async function follow (options: Options, signal: AbortSignal): Promise<void> {
  let version: number | undefined
  let failures = 0
  while (!signal.aborted) {
    const next = await step(options, version, signal)
    if (signal.aborted) return
    options.onAnswered?.(next !== 'failed')
    if (next === 'failed') {
      failures++
      options.metrics.storeFailures.inc({ table: options.table })
      if (failures === 1) options.log.write('storeFailed', { table: options.table, version: version ?? 0 })
      await pause(backoff(failures - 1, RETRY, options.chance()), undefined, { signal }).catch(() => 'the signal ends the loop')
      continue
    }
    if (failures > 0) options.log.write('storeBack', { table: options.table, failures })
    failures = 0
    version = next
  }
}

/** The next version to follow from; undefined when all must be read again. */
async function step ({ store, table, waitMs, onRows }: Options, version: number | undefined, signal: AbortSignal): Promise<number | undefined | 'failed'> {
  if (version === undefined) {
    const whole = await store.read(table, signal)
    if (whole.isErr()) return 'failed'
    onRows(whole.value.rows, true)
    return whole.value.version
  }
  const changed = await store.changes(table, version, waitMs, signal)
  if (changed.isErr()) return changed.error === 'forgotten' ? undefined : 'failed'
  if (changed.value.rows.length > 0) onRows(changed.value.rows, false)
  return changed.value.version
}
