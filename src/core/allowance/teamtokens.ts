/** The tokens that this host holds for one team, and where to request more. */

import type { Instant } from '../id/instant.ts'
import type { IssuerBackOff } from './issuerbackoff.ts'

interface TokenBatch {
  readonly until: Instant
  left: number
}

interface IssuerAnswer {
  readonly count: number
  /** Milliseconds until the place has another token. */
  readonly nextMs: number
  /** When this host sent the request, and how long a token is valid from then. */
  readonly askedAt: Instant
  readonly lifetimeMs: number
}

type Next =
  | { readonly kind: 'ask', readonly place: number, readonly count: number }
  /** No place can issue a token now. `ms`: until one has a token or may be asked again; `isSilent`: none of them answered. */
  | { readonly kind: 'none', readonly ms: number, readonly isSilent: boolean }

/** How soon to look again when the issuers aren't known. */
const UNKNOWN_ISSUER_RETRY_MS = 100
/** Maximum number of tokens in one request; the burst of a large team on one host. */
const MAX_REQUESTED_TOKENS = 64
/** Time constant of the moving average of a team's usage. */
const USAGE_DECAY_MS = 1000
/** Tokens are prefetched for this part of their lifetime; the answer takes time, and unused tokens expire. */
const PREFETCH_LIFETIME_SHARE = 0.5

/** Mutable: every operation updates it. `now` is of the clock that runs during suspension, so that a host holds no valid tokens after one. */
export class TeamTokens {
  private batches: TokenBatch[] = []
  private readonly emptyUntil = new Map<number, Instant>()
  private nextIndex = 0
  private recentUse = 0
  private recentUseAt: Instant

  private constructor (private places: readonly number[], private readonly backOff: IssuerBackOff, chance: number, now: Instant) {
    this.nextIndex = Math.floor(chance * places.length)
    this.recentUseAt = now
  }

  /** `places`: where the team's tokens are issued; `chance`, from 0 to 1, spreads hosts over them. */
  static of (places: readonly number[], backOff: IssuerBackOff, chance: number, now: Instant): TeamTokens {
    return new TeamTokens(places, backOff, chance, now)
  }

  /** Replaces the places at which the team's tokens are issued. */
  setPlaces (places: readonly number[]): void {
    this.places = places
  }

  /** Takes one token. Returns until when it's valid, or undefined if there is none. */
  take (now: Instant): Instant | undefined {
    this.recordUse(now)
    const batch = this.batches.find(({ left, until }) => left > 0 && until > now)
    if (batch === undefined) return undefined
    batch.left--
    return batch.until
  }

  /** Returns the token of an operation that didn't run. */
  putBack (until: Instant): void {
    this.batches.push({ until, left: 1 })
  }

  left (now: Instant): number {
    this.batches = this.batches.filter(({ left, until }) => left > 0 && until > now)
    return this.batches.reduce((sum, { left }) => sum + left, 0)
  }

  /** Number of tokens to hold, by recent usage. */
  prefetchCount (lifetimeMs: number, now: Instant): number {
    return Math.floor(this.decayedUse(now) / USAGE_DECAY_MS * lifetimeMs * PREFETCH_LIFETIME_SHARE)
  }

  /** Where to request tokens for waiting operations and expected usage. */
  next (waiting: number, lifetimeMs: number, now: Instant): Next {
    const count = Math.min(MAX_REQUESTED_TOKENS, Math.max(waiting, this.prefetchCount(lifetimeMs, now) - this.left(now)))
    for (let i = 0; i < this.places.length; i++) {
      const place = this.places[(this.nextIndex + i) % this.places.length]!
      if (this.isEmpty(place, now) || this.backOff.until(place, now) !== undefined) continue
      this.nextIndex = (this.nextIndex + i + 1) % this.places.length
      return { kind: 'ask', place, count: Math.max(1, count) }
    }
    if (this.places.length === 0) return { kind: 'none', ms: UNKNOWN_ISSUER_RETRY_MS, isSilent: true }
    const soonest = Math.min(...this.places.map(place => Math.max(this.emptyUntil.get(place) ?? now, this.backOff.until(place, now) ?? now)))
    // If any issuer answered, it's known when there is a token; otherwise nothing is.
    return { kind: 'none', ms: Math.max(0, soonest - now), isSilent: this.places.every(place => this.backOff.until(place, now) !== undefined) }
  }

  answered (place: number, { count, nextMs, askedAt, lifetimeMs }: IssuerAnswer, now: Instant): void {
    if (count > 0) this.batches.push({ until: askedAt + lifetimeMs as Instant, left: count })
    if (nextMs > 0) this.emptyUntil.set(place, now + Math.min(nextMs, 1e9) as Instant)
  }

  private isEmpty (place: number, now: Instant): boolean {
    return (this.emptyUntil.get(place) ?? -Infinity) > now
  }

  private recordUse (now: Instant): void {
    this.recentUse = this.decayedUse(now) + 1
    this.recentUseAt = now
  }

  private decayedUse (now: Instant): number {
    return this.recentUse * Math.exp(-Math.max(0, now - this.recentUseAt) / USAGE_DECAY_MS)
  }
}
