/**
 * Claims a slot of one endpoint for one process.
 *
 * Claims arbitrate between processes that can't reach each other, so that no
 * more of them open connections than the endpoint has slots. They aren't
 * renewed, because that would cost more writes than the store can take. A claim
 * may be replaced when its host is gone or says that it doesn't hold the slot.
 * No correctness rests on claims: while the store doesn't answer the slot is
 * taken without one, and only the server's own limit on connections applies.
 */

import type { HostId } from '../id/host.ts'
import type { Instant } from '../id/instant.ts'
import { backoff } from './backoff.ts'
import type { Claim } from './claim.ts'

type Event =
  | { readonly kind: 'read', readonly claims: readonly Claim[] }
  | { readonly kind: 'written' }
  /** Another process wrote the row first. */
  | { readonly kind: 'changed' }
  /** No answer; a write may have taken effect. */
  | { readonly kind: 'failed' }
  | { readonly kind: 'tick' }

type Action = { readonly kind: 'read' } | { readonly kind: 'write', readonly claim: Claim } | { readonly kind: 'take' }

interface Options {
  readonly host: HostId
  readonly incarnation: string
  readonly slots: number
  /** How long the store may fail to answer before the slot is taken without a claim. */
  readonly claimTimeoutMs: number
  /** How long the claim of an unknown host is respected, since the host may be newer than this process's host list. */
  readonly unknownHolderMs: number
  /** Whether the process of the claim is gone, as far as this process knows. */
  readonly claimStatus: (claim: Claim) => 'held' | 'gone' | 'unknown'
}

interface Fields {
  readonly phase: 'idle' | 'asking' | 'claimed'
  readonly since: Instant
  readonly retryAt: Instant
  readonly misses: number
  readonly hasTaken: boolean
  /** Since when the store says that others hold all slots. While it's set, no slot is taken without a claim. */
  readonly deniedSince: Instant | undefined
}

interface Step {
  readonly claimer: SlotClaimer
  readonly actions: readonly Action[]
}

const BACKOFF = { firstMs: 100, mostMs: 10_000 }

/** Immutable; `step` applies an event and returns the next state. It has one request to the store at a time. */
export class SlotClaimer {
  private constructor (private readonly options: Options, private readonly fields: Fields) {}

  static begin (options: Options, now: Instant): SlotClaimer {
    return new SlotClaimer(options, { phase: 'idle', since: now, retryAt: now, misses: 0, hasTaken: false, deniedSince: undefined })
  }

  get isClaimed (): boolean {
    return this.fields.phase === 'claimed'
  }

  get hasTaken (): boolean {
    return this.fields.hasTaken
  }

  /** Consecutive tries that the store didn't answer. */
  get misses (): number {
    return this.fields.misses
  }

  /** `chance` is a number in [0, 1) from the process's seeded generator. */
  step (event: Event, now: Instant, chance: number): Step {
    switch (event.kind) {
      case 'read': return this.read(event.claims, now, chance)
      case 'written': return this.claimed()
      case 'changed': return this.rest(now, chance, { misses: 0 })
      // A write whose answer was lost may have taken effect: the next read shows the claim as this process's own.
      case 'failed': return this.rest(now, chance, { misses: this.fields.misses + 1 })
      case 'tick': return this.tick(now)
    }
  }

  private read (claims: readonly Claim[], now: Instant, chance: number): Step {
    const { host, incarnation, slots } = this.options
    if (claims.some(claim => claim.host === host && claim.incarnation === incarnation)) return this.claimed()
    const all = Array.from({ length: slots }, (_, index) =>
      claims.find(claim => claim.index === index) ?? { index, revision: 0, host: '' as const, incarnation: '' })
    const open = all.find(claim => claim.host === host) ?? all.find(claim => claim.host === '') ??
      all.find(claim => this.isReplaceable(claim, now))
    if (open === undefined) return this.rest(now, chance, { misses: 0, deniedSince: this.fields.deniedSince ?? now })
    const claim: Claim = { index: open.index, revision: open.revision + 1, host, incarnation }
    return this.withActions({ kind: 'write', claim })
  }

  private isReplaceable (claim: Claim, now: Instant): boolean {
    const { claimStatus, unknownHolderMs } = this.options
    const { deniedSince } = this.fields
    const state = claimStatus(claim)
    return state === 'gone' || (state === 'unknown' && deniedSince !== undefined && now - deniedSince >= unknownHolderMs)
  }

  private claimed (): Step {
    const { hasTaken } = this.fields
    const next = this.with({ phase: 'claimed', hasTaken: true })
    return hasTaken ? next.withActions() : next.withActions({ kind: 'take' })
  }

  private rest (now: Instant, chance: number, change: Partial<Fields>): Step {
    const misses = change.misses ?? this.fields.misses
    return this.with({ ...change, phase: 'idle', retryAt: now + backoff(misses, BACKOFF, chance) as Instant }).withActions()
  }

  private tick (now: Instant): Step {
    const { phase, since, retryAt, hasTaken, deniedSince } = this.fields
    const actions: Action[] = []
    let next: SlotClaimer = this
    if (phase !== 'claimed' && !hasTaken && deniedSince === undefined && now - since >= this.options.claimTimeoutMs) {
      next = next.with({ hasTaken: true })
      actions.push({ kind: 'take' })
    }
    if (phase === 'idle' && now >= retryAt) {
      next = next.with({ phase: 'asking' })
      actions.push({ kind: 'read' })
    }
    return next.withActions(...actions)
  }

  private withActions (...actions: readonly Action[]): Step {
    return { claimer: this, actions }
  }

  private with (change: Partial<Fields>): SlotClaimer {
    return new SlotClaimer(this.options, { ...this.fields, ...change })
  }
}
