/** Upper bounds for the age of the tables that a host knows. */

import type { Instant } from '../../id/instant.ts'
import type { TableName } from './tablename.ts'

/** Times of the store's clock by table; everything that the store had at that time is known. */
type TableTimes = Readonly<Partial<Record<TableName, number>>>

/**
 * Hosts tell each other up to which time of the store's clock they know a table, so a delayed or forwarded message never makes a table look
 * younger than it is.
 *
 * The offset of the store's clock is estimated from queries: the store read its clock after the query was sent. So ages may be estimated too
 * high, but never too low. Immutable; instants are of the clock that counts suspension, and after a suspension ages are too high until the
 * next answer.
 */
export class Staleness {
  /** `storeClockZeroAt`: a lower bound for this host's time when the store's clock was 0; undefined before the first sample. */
  private constructor (private readonly storeClockZeroAt: number | undefined, readonly asOf: TableTimes) {}

  static readonly none = new Staleness(undefined, {})

  /** A query sent at `sentAt` was answered when the store's clock showed `storeMs`. */
  withClockSample (sentAt: Instant, storeMs: number): Staleness {
    return new Staleness(Math.max(this.storeClockZeroAt ?? -Infinity, sentAt - storeMs), this.asOf)
  }

  /** Everything that the store had at these times is known now. */
  withAsOf (asOf: TableTimes): Staleness {
    const names = [...Object.keys(asOf), ...Object.keys(this.asOf)] as TableName[]
    return new Staleness(this.storeClockZeroAt, Object.fromEntries(names.map(name => [name, Math.max(asOf[name] ?? -Infinity, this.asOf[name] ?? -Infinity)])))
  }

  /** Upper bound for the age of the table in milliseconds; infinite while unknown. */
  ageMs (table: TableName, now: Instant): number {
    const asOf = this.asOf[table]
    return this.storeClockZeroAt === undefined || asOf === undefined ? Infinity : Math.max(0, now - this.storeClockZeroAt - asOf)
  }

  /** Upper bound for the store's clock in milliseconds; undefined while unknown. */
  storeMs (now: Instant): number | undefined {
    return this.storeClockZeroAt === undefined ? undefined : now - this.storeClockZeroAt
  }
}
