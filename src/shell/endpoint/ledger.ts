/** SQL of the ledger of idempotency keys, a table in the caller's database at the endpoint. */

import { createHash } from 'node:crypto'
import type { Counts } from '../../core/request/counts.ts'
import type { RunEvent } from '../../core/request/runevent.ts'
import type { RunStep } from '../../core/request/runstep.ts'
import { skipLeadingTrivia } from '../../core/routing/trivia.ts'
import { parseTextRow } from './parsetextrow.ts'

type Row = Extract<RunEvent, { kind: 'found' }>['row']
type LedgerStep = Exclude<RunStep, 'statement'>

interface Options {
  /** The scope of the key: equal keys of two callers are different requests. */
  readonly caller: string
  readonly key: string
  readonly sql: string
  readonly access: 'write' | 'begin' | 'settle'
  /** Milliseconds since 1970; used only to delete old entries. */
  readonly at: number
}

const TABLE = 'agatepond_ledger'
const TRANSACTION_FINGERPRINT = 'transaction'
const VOID_FINGERPRINT = 'void'

/**
 * Builds the statements for one key. Key and statement are stored as hashes,
 * so that no text of a caller becomes part of the proxy's SQL.
 */
export class LedgerEntry {
  private constructor (
    private readonly id: string,
    private readonly fingerprint: string,
    private readonly at: number
  ) {}

  static of ({ caller, key, sql, access, at }: Options): LedgerEntry {
    const fingerprints = { write: hash(skipLeadingTrivia(sql).trim()), begin: TRANSACTION_FINGERPRINT, settle: VOID_FINGERPRINT }
    return new LedgerEntry(hash(`${caller}\0${key}`), fingerprints[access], at)
  }

  /** The SQL of a step; `counts` are stored by `record`. */
  sql (step: LedgerStep, counts: Counts): string {
    switch (step) {
      case 'begin': return 'BEGIN'
      case 'commit': return 'COMMIT'
      case 'rollback': return 'ROLLBACK'
      case 'create': return `CREATE TABLE IF NOT EXISTS ${TABLE} (id CHAR(64) NOT NULL PRIMARY KEY, fingerprint CHAR(64) NOT NULL, ` +
        'affected BIGINT NOT NULL, insert_id BIGINT NOT NULL, seen BIGINT NOT NULL, at BIGINT NOT NULL)'
      case 'claim':
      case 'void': return `INSERT INTO ${TABLE} (id, fingerprint, affected, insert_id, seen, at) VALUES ('${this.id}', '${this.fingerprint}', 0, 0, 0, ${this.at})`
      case 'record': return `UPDATE ${TABLE} SET affected = ${counts.affected}, insert_id = ${counts.insertId} WHERE id = '${this.id}'`
      case 'lookup': return `SELECT fingerprint, affected, insert_id FROM ${TABLE} WHERE id = '${this.id}'`
      case 'touch': return `UPDATE ${TABLE} SET seen = seen + 1 WHERE id = '${this.id}'`
    }
  }

  /** Parses the result of `lookup`; undefined when there is no entry. */
  parseRow (rows: readonly Buffer[]): Row {
    if (rows[0] === undefined) return undefined
    const [fingerprint, affected, insertId] = parseTextRow(rows[0])
    return { claim: this.claimOf(fingerprint), counts: { affected: Number(affected), insertId: Number(insertId) } }
  }

  private claimOf (fingerprint: string | null | undefined): NonNullable<Row>['claim'] {
    if (fingerprint === VOID_FINGERPRINT) return 'void'
    const isSame = this.fingerprint === VOID_FINGERPRINT || fingerprint === this.fingerprint
    return isSame ? 'same' : 'other'
  }
}

function hash (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}
