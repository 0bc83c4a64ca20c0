/** Keeps the shared row that says which hosts issue the tokens of teams. */

import { IssuerTable } from '../../../core/allowance/issuertable.ts'
import type { HostId } from '../../../core/id/host.ts'
import type { Instant } from '../../../core/id/instant.ts'
import type { Row } from '../../../core/pool/membership/row.ts'
import type { Log } from '../../log/log.ts'
import { clock } from '../clock.ts'
import type { RowStore } from '../membership/rowstore.ts'
import type { PoolMetrics } from '../metrics.ts'

interface Options {
  readonly self: HostId
  readonly store: RowStore
  readonly table: string
  readonly hosts: () => ReadonlyArray<{ readonly id: HostId }>
  /** Whoever is named in place of another waits for about so long before it issues; milliseconds. */
  readonly trustMs: number
  readonly log: Log
  readonly metrics: PoolMetrics
  readonly signal: AbortSignal
}

/** The key of the row. */
const KEY = 'issuers'
/** Hosts that start together are all known after this. Milliseconds. */
const FIRST_ISSUERS_MS = 2000
/** The next in the order writes the first row so much later. Milliseconds. */
const TURN_MS = 1000
/** A process that is started again is back before this, and goes on issuing in its place. Milliseconds. */
const GONE_MS = 5000

export class IssuerRegistry {
  static readonly key = KEY
  private version = 0
  private changedAt: Instant
  private issuers: IssuerTable | undefined
  /** Since when places didn't answer this host. */
  private readonly silentSince = new Map<number, Instant>()
  private isWriting = false

  private constructor (private readonly options: Options) {
    this.changedAt = clock.now()
  }

  static create (options: Options): IssuerRegistry {
    return new IssuerRegistry(options)
  }

  /** The row is known in a new version. */
  update ({ version, value }: Row): void {
    this.version = value === undefined ? 0 : version
    this.issuers = value === undefined ? undefined : IssuerTable.decode(value)
    this.changedAt = clock.now()
    this.silentSince.clear()
  }

  answered (place: number): void {
    this.silentSince.delete(place)
  }

  silent (place: number): void {
    if (!this.silentSince.has(place)) this.silentSince.set(place, clock.now())
  }

  /** Called now and then while teams have allowances and the shared table is known. */
  tick (): void {
    if (this.isWriting) return
    const now = clock.now()
    if (this.issuers === undefined) return this.nameFirst(now)
    // Whoever was named last may still be waiting, and can't answer yet.
    if (now - this.changedAt < this.options.trustMs + GONE_MS) return
    const gone = [...this.silentSince].find(([, since]) => now - since >= GONE_MS)
    if (gone === undefined) return
    const next = this.issuers.withReplacement(gone[0], this.hosts)
    if (next !== undefined) this.write(next)
  }

  private get hosts (): readonly HostId[] {
    return this.options.hosts().map(({ id }) => id)
  }

  private nameFirst (now: Instant): void {
    const turn = [...this.hosts].sort().indexOf(this.options.self)
    if (now - this.changedAt >= FIRST_ISSUERS_MS + TURN_MS * turn) this.write(IssuerTable.initial(this.hosts))
  }

  private async write (issuers: IssuerTable): Promise<void> {
    const { store, table, log, metrics, signal } = this.options
    this.isWriting = true
    metrics.storeCalls.inc({ call: 'write', table: 'shared', why: 'issuers' })
    const changed = await store.change([{ table, key: KEY, value: issuers.encode(), expected: this.version }], signal)
    log.write('issuersNamed', { hosts: issuers.places.map(({ host }) => host).join(' '), outcome: changed.isOk() ? 'done' : changed.error })
    this.changedAt = clock.now()
    this.isWriting = false
  }
}
