/** Deletes expired keys from the ledger. */

import type { EndpointConnection } from './connection.ts'
import { parseTextRow } from './parsetextrow.ts'

interface Options {
  /** Runs the work on a borrowed connection; rejects when none is free. */
  readonly withConnection: (work: (connection: Pick<EndpointConnection, 'ask'>) => Promise<void>) => Promise<void>
  /** Milliseconds since 1970. */
  readonly clock: () => number
}

/** How long a key prevents a second execution of its request. */
const RETENTION_MS = 24 * 60 * 60 * 1000
const CLEAN_INTERVAL_MS = 10 * 60 * 1000
const BATCH_SIZE = 500

/**
 * Deletes expired keys in batches while keys are in use. Reads the ids first and
 * deletes by primary key, since a delete by age would lock every row that it
 * scans and block new claims.
 */
export class LedgerCleaner {
  private last: number

  private constructor (private readonly options: Options) {
    this.last = options.clock()
  }

  static create (options: Options): LedgerCleaner {
    return new LedgerCleaner(options)
  }

  /** Called after each request with a key; cleans up if the interval has passed. */
  cleanIfDue (): void {
    const now = this.options.clock()
    if (now - this.last < CLEAN_INTERVAL_MS) return
    this.last = now
    // Fails on a replica or a busy slot; the next clean-up deletes what is left.
    this.options.withConnection(async connection => await deleteExpired(connection, now - RETENTION_MS)).catch(() => undefined)
  }
}

async function deleteExpired (connection: Pick<EndpointConnection, 'ask'>, before: number): Promise<void> {
  for (;;) {
    const rows = await connection.ask(`SELECT id FROM agatepond_ledger WHERE at < ${before} LIMIT ${BATCH_SIZE}`)
    if (rows.length === 0) return
    const ids = rows.map(row => `'${parseTextRow(row)[0]}'`)
    await connection.ask(`DELETE FROM agatepond_ledger WHERE id IN (${ids.join(', ')})`)
    if (rows.length < BATCH_SIZE) return
  }
}
