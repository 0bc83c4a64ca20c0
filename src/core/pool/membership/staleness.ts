/** How old what a host knows of the store may be. */

import type { Instant } from '../../id/instant.ts'
import type { TableName } from './tablename.ts'

/** Times of the store's own clock, by table; everything that the store had at that time is known. */
type TableTimes = Readonly<Partial<Record<TableName, number>>>

/**
 * Hosts tell each other up to which time of the store's clock they know a table. So a word that was held up on its way makes nothing look younger than it
 * is, and neither does one that passed through several hosts.
 *
 * The store's clock is put in relation to this host's by questions: what the store said it was when it answered came after the question was sent. So the
 * time at which that was on this host's clock is never taken for later than it was, and ages never for less than they are.
 * Immutable; instants are of the clock that counts suspension, and after a suspension all ages are too high until the next answer.
 */
export class Staleness {
  /** `zeroAt`: this host's time when the store's clock was 0, or earlier; undefined until that can be told. */
  private constructor (private readonly storeClockZeroAt: number | undefined, readonly asOf: TableTimes) {}

  static readonly none = new Staleness(undefined, {})

  /** A question that was sent then was answered when the store's clock showed the time. */
  withClockSample (sentAt: Instant, storeMs: number): Staleness {
    return new Staleness(Math.max(this.storeClockZeroAt ?? -Infinity, sentAt - storeMs), this.asOf)
  }

  /** Everything that the store had at the times is known now. */
  withAsOf (asOf: TableTimes): Staleness {
    const names = [...Object.keys(asOf), ...Object.keys(this.asOf)] as TableName[]
    return new Staleness(this.storeClockZeroAt, Object.fromEntries(names.map(name => [name, Math.max(asOf[name] ?? -Infinity, this.asOf[name] ?? -Infinity)])))
  }

  /** Milliseconds for which the table may have been another one in the store; infinite where that can't be told. */
  ageMs (table: TableName, now: Instant): number {
    const asOf = this.asOf[table]
    return this.storeClockZeroAt === undefined || asOf === undefined ? Infinity : Math.max(0, now - this.storeClockZeroAt - asOf)
  }

  /** The time that the store's clock shows, or a later one; undefined until that can be told. */
  storeMs (now: Instant): number | undefined {
    return this.storeClockZeroAt === undefined ? undefined : now - this.storeClockZeroAt
  }
}
