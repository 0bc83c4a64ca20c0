/** This process's claims in the table service: one loop an endpoint, run by the core's `Claiming`. */

import type { EndpointId } from '../../core/id/endpoint.ts'
import type { HostId } from '../../core/id/host.ts'
import type { Instant } from '../../core/id/instant.ts'
import { backoff } from '../../core/membership/backoff.ts'
import type { Claim } from '../../core/membership/claim.ts'
import { SlotClaimer } from '../../core/membership/slotclaimer.ts'
import type { Row } from '../platform/row.ts'
import type { TableService } from '../platform/tableservice.ts'

interface Options {
  readonly host: HostId
  readonly incarnation: string
  readonly table: TableService
  readonly now: () => Instant
  readonly chance: () => number
  /** Whether the claim's process, by all that is heard, is gone. */
  readonly claimStatus: (claim: Claim) => 'held' | 'gone' | 'unknown'
  /** The slot is this process's: claimed, or the store doesn't answer. */
  readonly onTake: (endpoint: EndpointId) => void
}

type Event = Parameters<SlotClaimer['step']>[0]

/** How long a slot waits for a store that doesn't answer: with the 3 s of silence before, a dead host's slot is served again within 5 s. */
const CLAIM_TIMEOUT_MS = 1000
/** Longer than the host list lags. */
const UNKNOWN_HOLDER_MS = 30_000
const TICK_MS = 50
const RELEASE_TIMEOUT_MS = 500
const RELEASE_BACKOFF = { firstMs: 100, mostMs: 10_000 }

export class SlotClaims {
  private readonly claimers = new Map<EndpointId, SlotClaimer>()
  /** Tells the claiming of an endpoint from an earlier one. */
  private readonly attempts = new Map<EndpointId, symbol>()
  private readonly releasing = new Set<EndpointId>()

  private constructor (private readonly options: Options) {}

  static create (options: Options, signal: AbortSignal): SlotClaims {
    const it = new SlotClaims(options)
    const ticker = setInterval(() => {
      for (const endpoint of it.claimers.keys()) it.apply(endpoint, { kind: 'tick' })
    }, TICK_MS)
    signal.addEventListener('abort', () => clearInterval(ticker), { once: true })
    return it
  }

  /** Endpoints whose claim waits for the store, and how often it was tried. */
  get waiting (): ReadonlyArray<{ readonly endpoint: EndpointId, readonly tries: number }> {
    return [...this.claimers]
      .filter(([, claiming]) => !claiming.isClaimed && claiming.misses > 0)
      .map(([endpoint, claiming]) => ({ endpoint, tries: claiming.misses }))
  }

  /** Begins to claim a slot of the endpoint; does nothing while it's claimed or being claimed. */
  claim (endpoint: EndpointId, slots: number): void {
    if (this.claimers.has(endpoint)) return
    const { host, incarnation, now, claimStatus: standing } = this.options
    const claiming = SlotClaimer.begin({
      host, incarnation, slots, claimStatus: standing, claimTimeoutMs: CLAIM_TIMEOUT_MS, unknownHolderMs: UNKNOWN_HOLDER_MS
    }, now())
    this.claimers.set(endpoint, claiming)
    this.attempts.set(endpoint, Symbol(endpoint))
    this.apply(endpoint, { kind: 'tick' })
  }

  /** Endpoints that are wanted and not taken yet. */
  get pending (): readonly EndpointId[] {
    return [...this.claimers].filter(([, claiming]) => !claiming.hasTaken).map(([endpoint]) => endpoint)
  }

  /** The slot falls to somebody else before it was taken: whatever was claimed is given back. */
  cancel (endpoint: EndpointId): void {
    if (this.claimers.get(endpoint)?.hasTaken === false) this.release(endpoint)
  }

  /** Gives the claim back, trying until the store answers: a live host's claim is respected by all others. */
  release (endpoint: EndpointId): void {
    if (!this.claimers.delete(endpoint)) return
    this.attempts.delete(endpoint)
    this.releasing.add(endpoint)
    this.releaseWithRetries(endpoint).finally(() => this.releasing.delete(endpoint))
  }

  /** Resolves when what is being given back has been, or soon: later this process's being gone frees it. */
  async waitForReleases (): Promise<void> {
    const end = this.options.now() + RELEASE_TIMEOUT_MS
    while (this.releasing.size > 0 && this.options.now() < end) {
      await new Promise(resolve => { setTimeout(resolve, TICK_MS) })
    }
  }

  private async releaseWithRetries (endpoint: EndpointId): Promise<void> {
    const { chance } = this.options
    for (let misses = 0; !this.claimers.has(endpoint); misses++) {
      if (await this.clearClaims(endpoint).then(() => true, () => false)) return
      await new Promise(resolve => { setTimeout(resolve, backoff(misses, RELEASE_BACKOFF, chance())).unref() })
    }
  }

  private async clearClaims (endpoint: EndpointId): Promise<void> {
    const { host, incarnation, table } = this.options
    const own = (await this.read(endpoint)).filter(claim => claim.host === host && claim.incarnation === incarnation)
    for (const claim of own) {
      // The slot may have fallen to this process again meanwhile: the claim is in use then.
      if (this.claimers.has(endpoint)) return
      await table.replace(rowOf(endpoint, { ...claim, revision: claim.revision + 1, host: '' }), claim.revision)
    }
  }

  private apply (endpoint: EndpointId, event: Event): void {
    const claiming = this.claimers.get(endpoint)
    if (claiming === undefined) return
    const step = claiming.step(event, this.options.now(), this.options.chance())
    this.claimers.set(endpoint, step.claimer)
    for (const action of step.actions) {
      switch (action.kind) {
        case 'take':
          this.options.onTake(endpoint)
          break
        case 'read':
          this.answer(endpoint, this.read(endpoint).then(claims => ({ kind: 'read', claims })))
          break
        case 'write':
          this.answer(endpoint, this.write(endpoint, action.claim).then(isDone => ({ kind: isDone ? 'written' : 'changed' })))
      }
    }
  }

  private answer (endpoint: EndpointId, answer: Promise<Event>): void {
    const attempt = this.attempts.get(endpoint)
    answer.catch((): Event => ({ kind: 'failed' })).then(event => {
      // The claim may have been given up, and begun anew, while the store answered: the answer isn't the new one's.
      if (this.attempts.get(endpoint) === attempt) this.apply(endpoint, event)
    })
  }

  private async read (endpoint: EndpointId): Promise<readonly Claim[]> {
    return (await this.options.table.list(partition(endpoint), '', MAX_SLOTS)).map(claimOf)
  }

  private async write (endpoint: EndpointId, claim: Claim): Promise<boolean> {
    const { table } = this.options
    const row = rowOf(endpoint, claim)
    if (claim.revision === 1) return await table.create(row) === 'created'
    return await table.replace(row, claim.revision - 1) === 'replaced'
  }
}

const MAX_SLOTS = 16

function partition (endpoint: EndpointId): string {
  return `slot/${endpoint}`
}

function rowOf (endpoint: EndpointId, { index, revision, host, incarnation }: Claim): Row {
  return { pk: partition(endpoint), sk: String(index), revision, body: JSON.stringify({ host, incarnation }) }
}

function claimOf (row: Row): Claim {
  const { host, incarnation } = JSON.parse(row.body) as Pick<Claim, 'host' | 'incarnation'>
  return { index: Number(row.sk), revision: row.revision, host, incarnation }
}
