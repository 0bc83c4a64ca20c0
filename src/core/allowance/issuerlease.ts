/** Whether this host may issue the tokens of a place, and since when. */

import type { HostId } from '../id/host.ts'
import type { Instant } from '../id/instant.ts'
import type { IssuerTable } from './issuertable.ts'

interface Held {
  readonly term: number
  readonly since: Instant
}

interface Options {
  readonly self: HostId
  /** How long a host goes on issuing after it last read the row, and how long a new issuer waits before it starts. Milliseconds. */
  readonly leaseMs: number
  /** Whether the whole system starts for the first time, so that no host has issued before. */
  readonly isFirstStart: boolean
  /** When this process started; its previous incarnation had ended by then. */
  readonly processStartedAt: Instant
}

/** Maximum drift between the clocks of two hosts, as a share of the elapsed time. */
const MAX_CLOCK_DRIFT = 0.05

/**
 * Ensures that no two hosts issue the same shard at a time. A host issues only while its copy of the row is at most `leaseMs` old. A host
 * that replaces another one waits that long after it learns of the change: by then the other host has read the row too, or has
 * stopped. No clocks are compared, and the store isn't asked.
 *
 * A process that restarts in its own place doesn't wait, since its previous incarnation has ended; its buckets are empty at its start.
 * To count from its start, and not from the row, is worth about half a second's tokens in the second after a power loss.
 * Immutable; `now` is of the monotonic clock, which stops while the host is suspended, so that suspension doesn't shorten a wait.
 */
export class IssuerLease {
  private constructor (private readonly options: Options, private readonly held: ReadonlyMap<number, Held>) {}

  static none (options: Options): IssuerLease {
    return new IssuerLease(options, new Map())
  }

  /** Updates the lease from the table read at `now`. */
  withTable (issuers: IssuerTable, now: Instant): IssuerLease {
    const { self, leaseMs, isFirstStart, processStartedAt } = this.options
    const own = issuers.places.flatMap(({ host, term }, place): Array<[number, Held]> => {
      if (host !== self) return []
      const held = this.held.get(place)
      // In another term another host may have issued since, even if this host learns of it only now.
      if (held?.term === term) return [[place, held]]
      const first = isFirstStart ? -Infinity : processStartedAt
      return [[place, { term, since: (term > 0 ? now + leaseMs * (1 + MAX_CLOCK_DRIFT) : first) as Instant }]]
    })
    return new IssuerLease(this.options, new Map(own))
  }

  /** Places whose lease began when this process started, so that their buckets start empty. */
  restartedPlaces (): readonly number[] {
    return [...this.held].filter(([, { since }]) => since === this.options.processStartedAt).map(([place]) => place)
  }

  /** Since when this host issues at the place; undefined if it may not issue now. `ageMs`: age of its copy of the row. */
  issuesSince (place: number, ageMs: number, now: Instant): Instant | undefined {
    const since = this.held.get(place)?.since
    return since === undefined || now < since || ageMs > this.options.leaseMs ? undefined : since
  }
}
