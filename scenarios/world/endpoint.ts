/** A fake database server: terms, votes, a log, transactions, and asynchronous replication. */

import type { Sample } from '../../src/core/group/sample.ts'
import { TermHistory } from '../../src/core/termhistory.ts'
import type { EndpointId } from '../../src/core/id/endpoint.ts'
import type { Position } from '../../src/core/id/position.ts'
import type { Term } from '../../src/core/id/term.ts'
import { Token } from '../../src/core/token.ts'
import type { Change } from './change.ts'
import type { Clock } from './clock.ts'
import { Condition } from './condition.ts'
import type { Connection } from './connection.ts'
import { forkOf } from './fork.ts'
import { Log } from './log.ts'
import type { Network } from './network.ts'
import type { Node } from './node.ts'
import { parseSql } from './sql.ts'
import { SqlError } from './sqlerror.ts'

interface Answer {
  readonly result?: { readonly names: readonly string[], readonly rows: ReadonlyArray<ReadonlyArray<string | number>> }
  readonly token?: Token
  /** Whether a transaction is open on the connection. */
  readonly isOpen: boolean
}

type Entries = ReturnType<Log['after']>

const STATEMENT_MS = 0.5
const IDLE_MS = 200
const RETRY_MS = 50
const PULL_MS = 1000

/** Term, vote and log outlive a restart, as a database's do. */
export class Endpoint {
  lagMs = 5
  private role: Sample['role'] = 'replica'
  private term = 0
  private proposer = ''
  /** The newest term whose primary this log is known to be a prefix of. */
  private alignedTerm = 0
  private history = TermHistory.empty
  private applied = 0
  private readonly log = Log.empty()
  private readonly open = new Map<Connection, Change[]>()
  private readonly changes: Condition
  private upstream: { readonly endpoint: Endpoint, readonly term: number } | undefined

  private constructor (
    readonly id: EndpointId,
    readonly node: Node,
    private readonly clock: Clock,
    private readonly network: Network,
    /** All endpoints by id, for "follow". */
    private readonly others: ReadonlyMap<EndpointId, Endpoint>
  ) {
    this.changes = Condition.create(clock)
  }

  static create (id: EndpointId, node: Node, clock: Clock, network: Network, others: ReadonlyMap<EndpointId, Endpoint>): Endpoint {
    return new Endpoint(id, node, clock, network, others)
  }

  get isPrimary (): boolean {
    return this.role === 'primary' && this.node.isUp
  }

  seal (term: number, proposer: string): void {
    const isMine = term === this.term && proposer === this.proposer
    if (term < this.term || (term === this.term && !isMine)) throw SqlError.refusal(`term ${this.term} is held by another proposer`)
    // A seal that arrives after its proposer's promotion changes nothing.
    if (isMine) return
    this.term = term
    this.proposer = proposer
    this.role = 'sealed'
    this.upstream = undefined
    this.changes.notify()
  }

  promote (term: number, proposer: string): void {
    if (term !== this.term || proposer !== this.proposer) throw SqlError.refusal(`term ${this.term} is held by another proposer`)
    if (this.role === 'primary') return
    this.role = 'primary'
    this.alignedTerm = term
    // Terms that began past the end of this log have no entry in it.
    const kept = this.history.starts.filter(start => start.position <= this.log.length)
    this.history = TermHistory.of(kept).with(term as Term, this.log.length as Position)
    this.applied = this.log.length
    this.changes.notify()
  }

  follow (primary: Endpoint, term: number): void {
    if (term < this.term) throw SqlError.refusal(`term ${this.term} is newer`)
    if (term === this.term && this.role === 'primary') throw SqlError.refusal('the primary of a term can not follow in it')
    if (term > this.term) this.proposer = ''
    this.term = term
    this.role = 'replica'
    this.upstream = { endpoint: primary, term }
    this.replicate(this.upstream)
    this.changes.notify()
  }

  async run (connection: Connection, sql: string): Promise<Answer> {
    const statement = parseSql(sql)
    if (statement.kind !== 'verb') await this.clock.sleep(STATEMENT_MS)
    await this.node.awake()
    if (!this.node.isUp || connection.isBroken) return await new Promise(() => undefined)
    const open = this.open.get(connection)
    switch (statement.kind) {
      case 'begin': return this.begin(connection)
      case 'read': return this.read(statement.keys, open)
      case 'lookup': return this.lookup(statement.id, open)
      case 'change': return this.change(statement.change, open)
      case 'commit': return this.commit(connection)
      case 'rollback':
        this.open.delete(connection)
        return { isOpen: false }
      case 'create': return { isOpen: false }
      case 'verb': return await this.verb(statement.name, statement.args)
    }
  }

  reset (connection: Connection): void {
    this.open.delete(connection)
  }

  /** A primary comes back read-only, since it can't know whether it was replaced. */
  restart (): void {
    this.node.isUp = true
    this.open.clear()
    if (this.role === 'primary') this.role = 'sealed'
    if (this.upstream !== undefined) this.replicate(this.upstream)
  }

  private async verb (name: string, args: ReadonlyArray<string | number>): Promise<Answer> {
    switch (name) {
      case 'seal':
        this.seal(Number(args[0]), String(args[1]))
        break
      case 'promote':
        this.promote(Number(args[0]), String(args[1]))
        break
      case 'follow':
        this.follow(this.others.get(String(args[0]) as EndpointId)!, Number(args[1]))
        break
      case 'received': await this.received(Number(args[0]), Number(args[1]), Number(args[2]))
    }
    return { result: this.status, isOpen: false }
  }

  private get status (): NonNullable<Answer['result']> {
    const { role, term, applied, log, history } = this
    return {
      names: ['role', 'term', 'last_term', 'received', 'applied', 'starts'],
      rows: [[role, term, log.lastTerm, log.length, applied, JSON.stringify(history.starts)]]
    }
  }

  /**
   * Returns when the position is received in the term. A server that doesn't
   * know the term waits as one that lags; a log that isn't cut at the fork
   * confirms nothing.
   */
  private async received (term: number, position: number, ms: number): Promise<void> {
    const end = this.clock.now + ms
    for (;;) {
      if (this.term > term) throw SqlError.refusal(`term is ${this.term}`)
      const isInTerm = this.term === term && this.role !== 'sealed' && this.alignedTerm === term
      if (isInTerm && this.log.length >= position) return
      const left = end - this.clock.now
      if (left <= 0) throw SqlError.lateConfirmation
      await this.changes.wait(left)
    }
  }

  private begin (connection: Connection): Answer {
    this.open.set(connection, [])
    connection.onBreak(() => this.open.delete(connection))
    return { isOpen: true }
  }

  private read (keys: readonly string[], open: readonly Change[] | undefined): Answer {
    const rows = this.log.read(keys, this.applied, open ?? []).map(row => [row.key, row.values.join(' ')])
    return { result: { names: ['k', 'v'], rows }, isOpen: open !== undefined }
  }

  private lookup (id: string, open: readonly Change[] | undefined): Answer {
    const claim = this.log.claim(id, this.applied, open ?? [])
    const rows = claim === undefined ? [] : [[claim.fingerprint, claim.affected, claim.insertId]]
    return { result: { names: ['fingerprint', 'affected', 'insert_id'], rows }, isOpen: open !== undefined }
  }

  /** A refused statement leaves its transaction open, as MySQL does. */
  private change (change: Change, open: Change[] | undefined): Answer {
    if (this.role !== 'primary') throw SqlError.readOnly
    this.checkClaims([change], open ?? [])
    if (open === undefined) return this.write([change])
    open.push(change)
    return { isOpen: true }
  }

  private commit (connection: Connection): Answer {
    const open = this.open.get(connection) ?? []
    if (open.length > 0 && this.role !== 'primary') throw SqlError.readOnly
    this.open.delete(connection)
    this.checkClaims(open, [])
    return open.length === 0 ? { isOpen: false } : this.write(open)
  }

  private checkClaims (changes: readonly Change[], open: readonly Change[]): void {
    for (const change of changes) {
      if (change.kind === 'claim' && this.log.claim(change.id, this.applied, open) !== undefined) throw SqlError.duplicate
    }
  }

  private write (changes: readonly Change[]): Answer {
    const position = this.log.push({ term: this.term, changes })
    this.applied = position
    this.changes.notify()
    return { token: Token.of(this.term, position), isOpen: false }
  }

  private async replicate (upstream: NonNullable<typeof this.upstream>): Promise<void> {
    while (this.upstream === upstream && this.node.isUp) {
      const connection = this.network.connect(this.node, upstream.endpoint.node)
      try {
        const starts = await this.network.ask(connection, PULL_MS, () => upstream.endpoint.greet(upstream.term))
        if (this.upstream !== upstream) return
        this.align(upstream.term, starts)
        await this.pull(upstream, connection)
      } catch {
        connection.break()
        await this.clock.sleep(RETRY_MS)
      }
    }
  }

  private async pull (upstream: NonNullable<typeof this.upstream>, connection: Connection): Promise<void> {
    while (this.upstream === upstream && this.node.isUp) {
      const from = this.log.length
      const entries = await this.network.ask(connection, PULL_MS, async () => await upstream.endpoint.entries(upstream.term, from))
      await this.node.awake()
      if (this.upstream !== upstream || !this.node.isUp) return
      for (const entry of entries) this.log.push(entry)
      this.changes.notify()
      this.applyLater(this.log.length, upstream)
    }
  }

  private applyLater (position: number, upstream: typeof this.upstream): void {
    this.clock.after(this.lagMs, () => {
      if (this.upstream !== upstream) return
      this.applied = Math.max(this.applied, position)
      this.changes.notify()
    })
  }

  /** Whether followers of the term may copy this log: a primary that was sealed still hands out what it has. */
  private serves (term: number): boolean {
    return this.role !== 'replica' && this.alignedTerm === term
  }

  private greet (term: number): TermHistory {
    if (!this.serves(term)) throw new Error('not primary')
    return this.history
  }

  private async entries (term: number, from: number): Promise<Entries> {
    if (this.log.length === from) await this.changes.wait(IDLE_MS)
    if (!this.serves(term)) throw new Error('not primary')
    return this.log.after(from)
  }

  /** Cuts the log past the fork with the primary's history, and takes that history over. */
  private align (term: number, history: TermHistory): void {
    const fork = forkOf(this.history.starts, history.starts, this.log.length)
    this.log.cut(fork)
    this.applied = Math.min(this.applied, fork)
    this.history = history
    this.alignedTerm = term
    this.changes.notify()
  }
}
