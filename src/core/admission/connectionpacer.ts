/** Limits how fast a slot opens connections. */

import type { Instant } from '../id/instant.ts'
import type { Limits } from './limits.ts'

/** Counts the connections being opened, spaces them out, and backs off after failures. */
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

  /** Milliseconds until the next attempt. */
  left (now: Instant): number {
    return Math.max(0, this.nextAt - now)
  }

  /** Starts opening a connection if the pace allows it. After a failure only one attempt at a time is made until one succeeds. */
  tryStart (now: Instant): boolean {
    const most = this.failures > 0 ? 1 : this.opening.most
    if (this.inProgress >= most || now < this.nextAt) return false
    this.inProgress++
    this.nextAt = now + this.opening.intervalMs as Instant
    return true
  }

  /** A connection was opened. */
  recordSuccess (): void {
    this.inProgress--
    this.resetBackOff()
  }

  /** There was room for a connection, but none was opened yet. */
  recordVacancy (): void {
    this.inProgress--
  }

  /** The endpoint accepts connections again. */
  resetBackOff (): void {
    this.failures = 0
  }

  /**
   * The endpoint is up but at its connection limit. A connection becomes free as soon as another host closes one, so this doesn't
   * count as a failure, the pause doesn't grow, and waiting requests keep waiting while their deadlines allow.
   */
  refused (now: Instant, chance: number): void {
    this.inProgress--
    this.rest(now, chance)
  }

  /** Like `refused`, for an opening that isn't counted here. */
  rest (now: Instant, chance: number): void {
    this.nextAt = now + this.opening.backOffMs * (0.5 + chance / 2) as Instant
  }

  /** Backs off exponentially with jitter, so that a recovering endpoint isn't met by all slot owners at once. */
  recordFailure (now: Instant, chance: number): void {
    this.inProgress--
    this.backOff(now, chance)
  }

  /** Like `recordFailure`, for an opening that isn't counted here. */
  backOff (now: Instant, chance: number): void {
    const { backOffMs, maxBackOffMs } = this.opening
    const ms = Math.min(maxBackOffMs, backOffMs * 2 ** this.failures)
    this.failures++
    this.nextAt = now + ms * (0.5 + chance / 2) as Instant
  }
}
