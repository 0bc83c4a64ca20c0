/** A store of versioned rows in virtual time: questions are held open, answers may be slow, lost or refused. */

import type { Agenda } from '../../bench/load/agenda.ts'
import type { Row } from '../../src/core/pool/membership/row.ts'
import type { TableName } from '../../src/core/pool/membership/tablename.ts'

type Answer = { readonly kind: 'rows', readonly rows: readonly Row[], readonly version: number, readonly storeMs: number } | { readonly kind: 'failed' | 'forgotten' }

interface Held {
  readonly table: TableName
  readonly after: number
  readonly answer: () => void
}

const CALL_MS = 4
/** Its clock shows another time than the world's. */
const CLOCK_MS = 123_456
/** After so long without an answer the caller gives up, on top of what it let the store wait. */
const LOST_MS = 750

export class ModelStore {
  /** Questions and changes, by what was asked. */
  readonly calls = { read: 0, changes: 0, write: 0 }
  isDown = false
  /** How many times slower it answers than it does as a rule. */
  slow = 1
  /** Changes up to this version aren't known any more. */
  forgottenTo = 0
  version = 0
  private readonly rows = new Map<string, Row & { readonly table: TableName }>()
  private held: Held[] = []

  constructor (private readonly agenda: Agenda) {}

  get sum (): number {
    return this.calls.read + this.calls.changes + this.calls.write
  }

  /** What was written, and when; the value as a number, since a long one takes a while to read. */
  readonly puts: Array<{ readonly table: TableName, readonly number: number, readonly at: number }> = []

  put (table: TableName, key: string, value: string | undefined): number {
    this.version++
    this.puts.push({ table, number: Number(value), at: this.agenda.now })
    this.rows.set(`${table}/${key}`, { table, key, value, version: this.version })
    const due = this.held.filter(one => one.table === table)
    this.held = this.held.filter(one => one.table !== table)
    for (const { answer } of due) answer()
    return this.version
  }

  ask (table: TableName, after: number | undefined, waitMs: number, answer: (answer: Answer) => void): void {
    this.calls[after === undefined ? 'read' : 'changes']++
    const ms = CALL_MS * this.slow
    if (ms > LOST_MS) return this.agenda.add(LOST_MS + waitMs, () => answer({ kind: 'failed' }))
    this.agenda.add(ms / 2, () => {
      if (this.isDown) return this.agenda.add(ms / 2, () => answer({ kind: 'failed' }))
      if (after === undefined) return this.reply(this.of(table, 0).filter(({ value }) => value !== undefined), answer)
      if (after < this.forgottenTo) return this.agenda.add(ms / 2, () => answer({ kind: 'forgotten' }))
      if (this.of(table, after).length > 0 || waitMs === 0) return this.reply(this.of(table, after), answer)
      this.hold(table, after, waitMs, answer)
    })
  }

  write (key: string, value: string, erased: readonly string[], answer: (isDone: boolean) => void): void {
    this.calls.write++
    this.agenda.add(CALL_MS * this.slow, () => {
      if (this.isDown) return answer(false)
      this.put('roll', key, value)
      for (const one of erased) this.put('roll', one, undefined)
      answer(true)
    })
  }

  private hold (table: TableName, after: number, waitMs: number, answer: (answer: Answer) => void): void {
    const held: Held = {
      table,
      after,
      answer: () => this.reply(this.of(table, after), answer)
    }
    this.held.push(held)
    this.agenda.add(waitMs, () => {
      if (!this.held.includes(held)) return
      this.held = this.held.filter(one => one !== held)
      held.answer()
    })
  }

  private of (table: TableName, after: number): readonly Row[] {
    return [...this.rows.values()].filter(row => row.table === table && row.version > after)
  }

  private reply (rows: readonly Row[], answer: (answer: Answer) => void): void {
    const { version } = this
    const storeMs = this.agenda.now + CLOCK_MS
    this.agenda.add(CALL_MS * this.slow / 2, () => answer(this.isDown ? { kind: 'failed' } : { kind: 'rows', rows, version, storeMs }))
  }
}
