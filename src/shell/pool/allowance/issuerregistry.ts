/** Maintains the shared row that names the hosts which issue the tokens of teams. */

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
  /** Milliseconds for which a host that replaces another issuer waits before it issues. */
  readonly trustMs: number
  readonly log: Log
  readonly metrics: PoolMetrics
  readonly signal: AbortSignal
}

/** Key of the shared row. */
const KEY = 'issuers'
/** Delay before the first issuers are named, so that hosts that start together know each other. */
const FIRST_ISSUERS_MS = 2000
/** Additional delay for each host before this one in the order of ids. */
const RANK_DELAY_MS = 1000
/** Silence after which an issuer is replaced; a restarted process is back before. */
const REPLACE_AFTER_MS = 5000

export class IssuerRegistry {
  static readonly key = KEY
  private version = 0
  private changedAt: Instant
  private issuers: IssuerTable | undefined
  /** Places that don't answer this host, and since when. */
  private readonly silentSince = new Map<number, Instant>()
  private isWriting = false

  private constructor (private readonly options: Options) {
    this.changedAt = clock.now()
  }

  static create (options: Options): IssuerRegistry {
    return new IssuerRegistry(options)
  }

  /** Takes in a new version of the row. */
  update ({ version, value }: Row): void {
    this.version = value === undefined ? 0 : version
    this.issuers = value === undefined ? undefined : IssuerTable.decode(value)
    this.changedAt = clock.now()
    this.silentSince.clear()
  }

  /** Records an answer of the issuer at the place. */
  answered (place: number): void {
    this.silentSince.delete(place)
  }

  /** Records that the issuer at the place didn't answer in time. */
  silent (place: number): void {
    if (!this.silentSince.has(place)) this.silentSince.set(place, clock.now())
  }

  /** Must be called regularly while teams have allowances and the shared table is known. */
  tick (): void {
    if (this.isWriting) return
    const now = clock.now()
    if (this.issuers === undefined) return this.nameFirst(now)
    // An issuer that was named recently may still be waiting, and doesn't answer yet.
    if (now - this.changedAt < this.options.trustMs + REPLACE_AFTER_MS) return
    const gone = [...this.silentSince].find(([, since]) => now - since >= REPLACE_AFTER_MS)
    if (gone === undefined) return
    const next = this.issuers.withReplacement(gone[0], this.hosts)
    if (next !== undefined) this.write(next)
  }

  private get hosts (): readonly HostId[] {
    return this.options.hosts().map(({ id }) => id)
  }

  private nameFirst (now: Instant): void {
    const rank = [...this.hosts].sort().indexOf(this.options.self)
    if (now - this.changedAt >= FIRST_ISSUERS_MS + RANK_DELAY_MS * rank) this.write(IssuerTable.initial(this.hosts))
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
