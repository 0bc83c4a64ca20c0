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

  /** Whether followers of the term may copy this log: a primary that was sealed still hands out what it has. */
  serves (term: number): boolean {
    return this.role !== 'replica' && this.alignedTerm === term
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
    const isMine = term === this.term && proposer === this.proposer
    if (term < this.term || (term === this.term && !isMine)) throw new Error(`term ${this.term} is held by another proposer`)
    // A seal that arrives after its proposer's promotion changes nothing.
    if (isMine) return
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
    // Terms that began past the end of this log have no entry in it.
    this.starts = [...this.starts.filter(start => start.position <= this.received), { term, position: this.received }]
    this.applyUpTo(this.received)
    this.changed()
  }

  /** Begins to follow a primary of the term; the log is cut when replication finds the fork. */
  follow (term: number): void {
    if (term < this.term) throw new Error(`term ${this.term} is newer`)
    if (term === this.term && this.role === 'primary') throw new Error('the primary of a term can not follow in it')
    if (term > this.term) this.proposer = ''
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
    const fork = this.forkWith(starts)
    if (fork < this.received) {
      this.log = this.log.slice(0, fork)
      if (this.applied > fork) this.rebuild(fork)
    }
    this.starts = [...starts]
    this.alignedTerm = term
    this.changed()
  }

  /** The last position up to which this log and one with the other starts are the same: where either began a term that the other lacks. */
  private forkWith (starts: Status['starts']): number {
    const lacks = (some: Status['starts'], start: Status['starts'][number]): boolean =>
      !some.some(other => other.term === start.term && other.position === start.position)
    const forks = [
      ...this.starts.filter(start => lacks(starts, start)),
      ...starts.filter(start => lacks(this.starts, start))
    ]
    return Math.min(this.received, ...forks.map(start => start.position))
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
