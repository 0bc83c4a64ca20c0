/** This process's claims on slots in the table service: runs one `SlotClaimer` for each endpoint. */

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
  /** Whether the process that holds the claim still runs, as far as this process knows. */
  readonly claimStatus: (claim: Claim) => 'held' | 'gone' | 'unknown'
  /** Called when this process may use the slot: it is claimed, or the table service didn't answer within CLAIM_TIMEOUT_MS. */
  readonly onTake: (endpoint: EndpointId) => void
}

type Event = Parameters<SlotClaimer['step']>[0]

/**
 * How long a slot waits for the table service before it is taken without a claim.
 * Together with the 3 s until a host counts as failed, its slots are served again within 5 s.
 */
const CLAIM_TIMEOUT_MS = 1000
/** How long the claim of an unknown host is respected. Exceeds the delay of the host list, which may not show a new host yet. */
const UNKNOWN_HOLDER_MS = 30_000
const TICK_MS = 50
const RELEASE_TIMEOUT_MS = 500
const RELEASE_BACKOFF = { firstMs: 100, mostMs: 10_000 }

/** Claims slots for this process and releases them. */
export class SlotClaims {
  private readonly claimers = new Map<EndpointId, SlotClaimer>()
  /** Identifies the current claim of an endpoint, so that answers to an earlier one are ignored. */
  private readonly attempts = new Map<EndpointId, symbol>()
  private readonly releasing = new Set<EndpointId>()

  private constructor (private readonly options: Options) {}

  static create (options: Options, signal: AbortSignal): SlotClaims {
    const claims = new SlotClaims(options)
    const ticker = setInterval(() => {
      for (const endpoint of claims.claimers.keys()) claims.apply(endpoint, { kind: 'tick' })
    }, TICK_MS)
    signal.addEventListener('abort', () => clearInterval(ticker), { once: true })
    return claims
  }

  /** Endpoints whose claim waits for the table service, with the number of failed tries. */
  get waiting (): ReadonlyArray<{ readonly endpoint: EndpointId, readonly tries: number }> {
    return [...this.claimers]
      .filter(([, claimer]) => !claimer.isClaimed && claimer.misses > 0)
      .map(([endpoint, claimer]) => ({ endpoint, tries: claimer.misses }))
  }

  /** Starts to claim one of the endpoint's `slots` slots. Does nothing if a claim is held or in progress. */
  claim (endpoint: EndpointId, slots: number): void {
    if (this.claimers.has(endpoint)) return
    const { host, incarnation, now, claimStatus } = this.options
    const claimer = SlotClaimer.begin({
      host, incarnation, slots, claimStatus, claimTimeoutMs: CLAIM_TIMEOUT_MS, unknownHolderMs: UNKNOWN_HOLDER_MS
    }, now())
    this.claimers.set(endpoint, claimer)
    this.attempts.set(endpoint, Symbol(endpoint))
    this.apply(endpoint, { kind: 'tick' })
  }

  /** Endpoints whose slot isn't taken yet. */
  get pending (): readonly EndpointId[] {
    return [...this.claimers].filter(([, claimer]) => !claimer.hasTaken).map(([endpoint]) => endpoint)
  }

  /** Cancels a claim that is in progress and releases what it has claimed so far. Does nothing once the slot is taken. */
  cancel (endpoint: EndpointId): void {
    if (this.claimers.get(endpoint)?.hasTaken === false) this.release(endpoint)
  }

  /** Releases the claim, with retries until the table service answers, since no other host takes a slot that a live host claims. */
  release (endpoint: EndpointId): void {
    if (!this.claimers.delete(endpoint)) return
    this.attempts.delete(endpoint)
    this.releasing.add(endpoint)
    this.releaseWithRetries(endpoint).finally(() => this.releasing.delete(endpoint))
  }

  /** Resolves when all releases are done, or after a timeout: others may take the remaining slots once this process is gone. */
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
      // The slot may have been assigned to this process again meanwhile; then its claim must stay.
      if (this.claimers.has(endpoint)) return
      await table.replace(rowOf(endpoint, { ...claim, revision: claim.revision + 1, host: '' }), claim.revision)
    }
  }

  private apply (endpoint: EndpointId, event: Event): void {
    const claimer = this.claimers.get(endpoint)
    if (claimer === undefined) return
    const step = claimer.step(event, this.options.now(), this.options.chance())
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
      // The claim may have been released and started again meanwhile; an answer to the earlier one doesn't apply.
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
