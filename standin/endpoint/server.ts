/**
 * A stand-in database server: a log with terms and positions, the verbs that
 * agatepond assumes, and asynchronous replication whose lag can be set.
 */

import type { SqlJsStatic } from 'sql.js'
import type { Entry } from './entry.ts'
import { Store } from './store.ts'

type Answer = ReturnType<Store['commit']>

interface Status {
  readonly role: 'primary' | 'replica' | 'sealed'
  readonly term: number
  readonly lastTerm: number
  readonly received: number
  readonly applied: number
  readonly starts: readonly { term: number, position: number }[]
}

/** State of one server. Every method is one atomic step. */
export class Server {
  role: Status['role'] = 'replica'
  term = 0
  /** Who sealed or promoted this server in its term; nobody else may. */
  private proposer = ''
  /** The newest term whose primary this log is known to be a prefix of. */
  alignedTerm = 0
  private log: Entry[] = []
  private starts: { term: number, position: number }[] = []
  applied = 0
  /** How long after its arrival an entry shows in reads. */
  lagMs = 0
  private readonly store: Store
  private readonly waiters = new Set<() => void>()

  private constructor (readonly id: string, sql: SqlJsStatic) {
    this.store = Store.create(sql)
  }

  static create (id: string, sql: SqlJsStatic): Server {
    return new Server(id, sql)
  }

  get received (): number {
    return this.log.length
  }

  get status (): Status {
    return {
      role: this.role,
      term: this.term,
      lastTerm: this.lastTerm,
      received: this.received,
      applied: this.applied,
      starts: this.starts
    }
  }

  private get lastTerm (): number {
    return this.log.at(-1)?.term ?? 0
  }

  /** Refuses writes of lower terms from now on, for one proposer. */
  seal (term: number, proposer: string): void {
    const isNew = term > this.term || (term === this.term && proposer === this.proposer)
    if (!isNew) throw new Error(`term ${this.term} is held by another proposer`)
    this.term = term
    this.proposer = proposer
    this.role = 'sealed'
    this.changed()
  }

  promote (term: number, proposer: string): void {
    if (term !== this.term || proposer !== this.proposer) throw new Error(`term ${this.term} is held by another proposer`)
    if (this.role === 'primary') return
    this.role = 'primary'
    this.alignedTerm = term
    this.starts = [...this.starts, { term, position: this.received }]
    this.applyUpTo(this.received)
    this.changed()
  }

  /** Begins to follow a primary of the term; the log is cut when replication finds the fork. */
  follow (term: number): void {
    if (term < this.term) throw new Error(`term ${this.term} is newer`)
    if (term === this.term && this.role === 'primary') throw new Error('the primary of a term can not follow in it')
    this.term = term
    this.role = 'replica'
    this.changed()
  }

  /** Runs a read against what has been applied. */
  read (statements: readonly string[]): Answer {
    return this.store.preview(statements)
  }

  /** Runs a transaction and appends it to the log; undefined position when it changed nothing. */
  write (statements: readonly string[]): { readonly answer: Answer, readonly entry: Entry } {
    if (this.role !== 'primary') throw new Error('read-only')
    const answer = this.store.commit(statements)
    const entry: Entry = { term: this.term, position: this.received + 1, statements }
    this.log.push(entry)
    this.applied = entry.position
    this.changed()
    return { answer, entry }
  }

  entriesFrom (position: number): readonly Entry[] {
    return this.log.slice(position)
  }

  /** Cuts the log past the fork with the primary's history, and takes that history over. */
  align (term: number, starts: Status['starts']): void {
    if (term !== this.term || this.role !== 'replica') return
    const next = starts.find(start => start.term > this.lastTerm)
    if (next !== undefined && next.position < this.received) {
      this.log = this.log.slice(0, next.position)
      const applied = Math.min(this.applied, next.position)
      if (this.applied > next.position) this.rebuild(applied)
    }
    this.starts = [...starts]
    this.alignedTerm = term
    this.changed()
  }

  /** Takes an entry from the primary of the term. */
  receive (term: number, entry: Entry): void {
    if (term !== this.term || this.role !== 'replica' || entry.position !== this.received + 1) return
    this.log.push(entry)
    this.changed()
    const { log } = this
    setTimeout(() => { if (this.log === log && this.role === 'replica') this.applyUpTo(entry.position) }, this.lagMs)
  }

  /** Resolves on the next change of state. */
  async nextChange (ms: number): Promise<void> {
    await new Promise<void>(resolve => {
      const settle = (): void => {
        clearTimeout(timer)
        this.waiters.delete(settle)
        resolve()
      }
      const timer = setTimeout(settle, ms)
      this.waiters.add(settle)
    })
  }

  private applyUpTo (position: number): void {
    for (const entry of this.log.slice(this.applied, position)) this.store.commit(entry.statements)
    this.applied = Math.max(this.applied, position)
    this.changed()
  }

  private rebuild (position: number): void {
    this.store.clear()
    this.applied = 0
    this.applyUpTo(position)
  }

  private changed (): void {
    for (const wake of [...this.waiters]) wake()
  }
}
