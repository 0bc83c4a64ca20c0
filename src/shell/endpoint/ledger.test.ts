/** The ledger's statements, run on SQLite. */

import initSqlJs from 'sql.js'
import { describe, expect, it } from 'vitest'
import type { RunStep } from '../../core/request/runstep.ts'
import { encodeResult } from '../../../standin/endpoint/columns.ts'
import { LedgerEntry } from './ledger.ts'
import { LedgerCleaner } from './ledgercleaner.ts'

const sql = await initSqlJs()
const HOUR_MS = 60 * 60 * 1000

/** An SQLite database with the ledger table. */
class Database {
  private readonly db = new sql.Database()

  constructor () {
    this.do(entry(), 'create')
  }

  run (text: string): Buffer[] {
    const [result] = this.db.exec(text)
    return result === undefined ? [] : [...encodeResult(result.columns, result.values).rows]
  }

  do (one: LedgerEntry, step: Exclude<RunStep, 'statement'>): Buffer[] {
    return this.run(one.sql(step, { affected: 3, insertId: 7 }))
  }
}

function entry (change: Partial<Parameters<typeof LedgerEntry.of>[0]> = {}): LedgerEntry {
  return LedgerEntry.of({ caller: 'app', key: 'kit-1', sql: 'UPDATE reel', access: 'write', at: 0, ...change })
}

describe('LedgerEntry', () => {
  it('stores the counts of the first execution', () => {
    const db = new Database()
    db.do(entry(), 'claim')
    db.do(entry(), 'record')
    expect(entry().parseRow(db.do(entry(), 'lookup'))).toEqual({ claim: 'same', counts: { affected: 3, insertId: 7 } })
  })

  it.each([
    ['same', 'the statement with hints in front of it', entry({ sql: '/* once=kit-1 */ UPDATE reel' })],
    ['other', 'another statement', entry({ sql: 'UPDATE stock' })],
    ['other', 'a transaction', entry({ access: 'begin', sql: 'BEGIN' })],
    ['same', 'a query for its outcome', entry({ access: 'settle', sql: '' })]
  ])('is %s for %s', (claim, _, again) => {
    const db = new Database()
    db.do(entry(), 'claim')
    expect(again.parseRow(db.do(again, 'lookup'))?.claim).toBe(claim)
  })

  it('refuses a second claim of a key, but not another caller\'s claim of the same key', () => {
    const db = new Database()
    db.do(entry(), 'claim')
    db.do(entry({ caller: 'planner' }), 'claim')
    expect(() => db.do(entry({ access: 'settle' }), 'void')).toThrow(/UNIQUE/)
  })

  it('keeps the text of a caller out of its SQL', () => {
    const db = new Database()
    const odd = entry({ key: "x'); DROP TABLE agatepond_ledger; --" })
    db.do(odd, 'claim')
    expect(odd.parseRow(db.do(odd, 'lookup'))?.claim).toBe('same')
  })
})

describe('LedgerCleaner', () => {
  it('deletes keys older than a day when keys are used', async () => {
    const db = new Database()
    for (let i = 0; i < 1200; i++) db.do(entry({ key: `old-${i}` }), 'claim')
    db.do(entry({ at: 10 * HOUR_MS }), 'claim')
    let now = 0
    let work = Promise.resolve()
    const cleaner = LedgerCleaner.create({
      clock: () => now,
      withConnection: async act => await (work = act({ ask: async text => db.run(text) }))
    })
    now = 25 * HOUR_MS
    cleaner.cleanIfDue()
    await work
    expect(db.run('SELECT COUNT(*) FROM agatepond_ledger')[0]?.toString('utf8', 1)).toBe('1')
  })
})
