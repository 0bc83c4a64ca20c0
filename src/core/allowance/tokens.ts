/** The tokens that this host holds for one team, and where it asks for more. */

import type { Instant } from '../id/instant.ts'
import type { Silence } from './silence.ts'

interface Lot {
  readonly until: Instant
  left: number
}

interface Answer {
  readonly count: number
  /** Milliseconds until the place has another token. */
  readonly nextMs: number
  /** When this host asked, and for how long a token counts from then. */
  readonly askedAt: Instant
  readonly lifetimeMs: number
}

type Next =
  | { readonly kind: 'ask', readonly place: number, readonly count: number }
  /** Nothing can be had now: every place said so, or didn't answer. `ms`: until the first has a token, or is tried again; `isSilent`: that one didn't answer. */
  | { readonly kind: 'none', readonly ms: number, readonly isSilent: boolean }

/** Where it isn't known who issues, that is looked at again after so long. */
const UNKNOWN_MS = 100
/** The most that is asked for at once: a burst of a large team on one host. */
const MOST = 64
/** What a team used lately is forgotten with this time; about what a wave of callers lasts. */
const RECENT_MS = 1000
/** Tokens are fetched ahead for this part of their lifetime: the answer takes a part of it, and what isn't used then lapses. */
const AHEAD = 0.5

/** Changes in place: it's touched by every operation. `now` is of the clock that counts suspension, so that a host that wakes holds nothing. */
export class Tokens {
  private lots: Lot[] = []
  private readonly emptyUntil = new Map<number, Instant>()
  private turn = 0
  private recent = 0
  private recentAt: Instant

  private constructor (private places: readonly number[], private readonly silence: Silence, chance: number, now: Instant) {
    this.turn = Math.floor(chance * places.length)
    this.recentAt = now
  }

  /** `places`: where the team's tokens are issued; `chance`, from 0 to 1, spreads hosts over them. */
  static of (places: readonly number[], silence: Silence, chance: number, now: Instant): Tokens {
    return new Tokens(places, silence, chance, now)
  }

  move (places: readonly number[]): void {
    this.places = places
  }

  /** Takes one token; until when it counts, or undefined without one. */
  take (now: Instant): Instant | undefined {
    this.used(now)
    const lot = this.lots.find(({ left, until }) => left > 0 && until > now)
    if (lot === undefined) return undefined
    lot.left--
    return lot.until
  }

  /** What was taken for an operation that didn't run. */
  putBack (until: Instant): void {
    this.lots.push({ until, left: 1 })
  }

  left (now: Instant): number {
    this.lots = this.lots.filter(({ left, until }) => left > 0 && until > now)
    return this.lots.reduce((sum, { left }) => sum + left, 0)
  }

  /** How many are worth having in hand. */
  ahead (lifetimeMs: number, now: Instant): number {
    return Math.floor(this.recentAtNow(now) / RECENT_MS * lifetimeMs * AHEAD)
  }

  /** Where to ask, for those that wait and what will be used soon. */
  next (waiting: number, lifetimeMs: number, now: Instant): Next {
    const count = Math.min(MOST, Math.max(waiting, this.ahead(lifetimeMs, now) - this.left(now)))
    for (let i = 0; i < this.places.length; i++) {
      const place = this.places[(this.turn + i) % this.places.length]!
      if (this.isEmpty(place, now) || this.silence.until(place, now) !== undefined) continue
      this.turn = (this.turn + i + 1) % this.places.length
      return { kind: 'ask', place, count: Math.max(1, count) }
    }
    if (this.places.length === 0) return { kind: 'none', ms: UNKNOWN_MS, isSilent: true }
    const soonest = Math.min(...this.places.map(place => Math.max(this.emptyUntil.get(place) ?? now, this.silence.until(place, now) ?? now)))
    // With one that answered it's known when there is a token; with none, nothing is.
    return { kind: 'none', ms: Math.max(0, soonest - now), isSilent: this.places.every(place => this.silence.until(place, now) !== undefined) }
  }

  answered (place: number, { count, nextMs, askedAt, lifetimeMs }: Answer, now: Instant): void {
    if (count > 0) this.lots.push({ until: askedAt + lifetimeMs as Instant, left: count })
    if (nextMs > 0) this.emptyUntil.set(place, now + Math.min(nextMs, 1e9) as Instant)
  }

  private isEmpty (place: number, now: Instant): boolean {
    return (this.emptyUntil.get(place) ?? -Infinity) > now
  }

  private used (now: Instant): void {
    this.recent = this.recentAtNow(now) + 1
    this.recentAt = now
  }

  private recentAtNow (now: Instant): number {
    return this.recent * Math.exp(-Math.max(0, now - this.recentAt) / RECENT_MS)
  }
}
