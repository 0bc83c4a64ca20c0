/** The pace at which a slot opens connections. */

import type { Instant } from '../id/instant.ts'
import type { Limits } from './limits.ts'

/** Counts the openings under way, spaces them, and backs off after failures. */
export class ConnectionPacer {
  private inProgress = 0
  private failures = 0
  private nextAt = -Infinity as Instant

  private constructor (private readonly opening: Limits['opening']) {}

  static create (opening: Limits['opening']): ConnectionPacer {
    return new ConnectionPacer(opening)
  }

  get pending (): number {
    return this.inProgress
  }

  isBackingOff (now: Instant): boolean {
    return this.failures > 0 && now < this.nextAt
  }

  /** Milliseconds until the next try. */
  left (now: Instant): number {
    return Math.max(0, this.nextAt - now)
  }

  /** Takes leave to open one connection. After a failure one try at a time goes out until one succeeds. */
  tryStart (now: Instant): boolean {
    const most = this.failures > 0 ? 1 : this.opening.most
    if (this.inProgress >= most || now < this.nextAt) return false
    this.inProgress++
    this.nextAt = now + this.opening.intervalMs as Instant
    return true
  }

  recordSuccess (): void {
    this.inProgress--
    this.resetBackOff()
  }

  /** Room was found, and nothing opened yet. */
  recordVacancy (): void {
    this.inProgress--
  }

  /** The endpoint takes connections again. */
  resetBackOff (): void {
    this.failures = 0
  }

  /**
   * An endpoint that takes no more connections has the next one free as soon as
   * some host gives one back, so tries neither get rarer nor count as failures:
   * what waits goes on waiting for as long as its time allows.
   */
  refused (now: Instant, chance: number): void {
    this.inProgress--
    this.rest(now, chance)
  }

  /** The same for an opening that wasn't counted here. */
  rest (now: Instant, chance: number): void {
    this.nextAt = now + this.opening.backOffMs * (0.5 + chance / 2) as Instant
  }

  /**
   * Against a server that comes back and is met by every slot owner at once:
   * tries get rarer with each failure, and chance spreads them.
   */
  recordFailure (now: Instant, chance: number): void {
    this.inProgress--
    this.backOff(now, chance)
  }

  /** The same for an opening that wasn't counted here. */
  backOff (now: Instant, chance: number): void {
    const { backOffMs, maxBackOffMs: mostBackOffMs } = this.opening
    const ms = Math.min(mostBackOffMs, backOffMs * 2 ** this.failures)
    this.failures++
    this.nextAt = now + ms * (0.5 + chance / 2) as Instant
  }
}
