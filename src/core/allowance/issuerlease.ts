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
  /** A host goes on issuing for so long on what it knows of the row, so one that takes a place waits for as long. Milliseconds. */
  readonly leaseMs: number
  /** Whether the whole system starts for the first time, so that nobody issued before. */
  readonly isFirstStart: boolean
  /** When this process began, and so whatever this host did before was over. */
  readonly processStartedAt: Instant
}

/** The clocks of two hosts part by far less than this share in such a time. */
const MAX_CLOCK_DRIFT = 0.05

/**
 * Guard against two hosts that issue one shard: one that is cut off goes on, and another takes its place. Nobody issues on knowledge
 * of the row that may be older than `trustMs`. So whoever is named in place of another waits for that long from the moment at
 * which it learnt of it: by then the other one has heard of it too, or has stopped. No clocks are compared, and the store isn't asked.
 *
 * A process that starts anew in its own place needs no wait, since its life before is over; its buckets are empty at its birth. Counting
 * from there and not from the row is worth about half a second's tokens in the second after a power loss, when callers need them most.
 * Immutable; `now` is of the monotonic clock, which stands still while the host is suspended, so that no wait is cut short.
 */
export class IssuerLease {
  private constructor (private readonly options: Options, private readonly held: ReadonlyMap<number, Held>) {}

  static none (options: Options): IssuerLease {
    return new IssuerLease(options, new Map())
  }

  /** By the row as it's known now. */
  withTable (issuers: IssuerTable, now: Instant): IssuerLease {
    const { self, leaseMs: trustMs, isFirstStart, processStartedAt: bornAt } = this.options
    const own = issuers.places.flatMap(({ host, term }, place): Array<[number, Held]> => {
      if (host !== self) return []
      const held = this.held.get(place)
      // In another term somebody else may have issued since, also when this host heard of that only now.
      if (held?.term === term) return [[place, held]]
      const first = isFirstStart ? -Infinity : bornAt
      return [[place, { term, since: (term > 0 ? now + trustMs * (1 + MAX_CLOCK_DRIFT) : first) as Instant }]]
    })
    return new IssuerLease(this.options, new Map(own))
  }

  /** The places at which this process starts anew, and so with empty buckets. */
  restartedPlaces (): readonly number[] {
    return [...this.held].filter(([, { since }]) => since === this.options.processStartedAt).map(([place]) => place)
  }

  /** Since when this host issues at the place; undefined when it may not now. `ageMs`: how old its knowledge of the row may be. */
  issuesSince (place: number, ageMs: number, now: Instant): Instant | undefined {
    const since = this.held.get(place)?.since
    return since === undefined || now < since || ageMs > this.options.leaseMs ? undefined : since
  }
}
