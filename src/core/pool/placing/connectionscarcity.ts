/** When connections to an endpoint are scarce, and how long an unused one is kept. */

import type { Instant } from '../../id/instant.ts'

/**
 * An endpoint counts the connections of a host that lost its power for about
 * three seconds more; so long, and a little longer, what is left must do for all.
 */
const SCARCITY_MS = 4000
/** An unused connection is given up after so long while others lack one: about the time that opening one takes there. */
const IDLE_TIMEOUT_MS = 30

/**
 * Guard against hosts that hold unused connections while others have none:
 * after all hosts lost their power an endpoint has only a few free, the first
 * host takes its whole share of them, and callers of the others can't write
 * for seconds. It shows as refused openings at some hosts and idle connections
 * at others. A host can't see that others lack one, but every host that has just
 * started, or was refused itself, may expect it, and so gives back what it doesn't use.
 * Immutable.
 */
export class ConnectionScarcity {
  private constructor (private readonly until: Instant) {}

  /** None is expected to be scarce until one is refused. */
  static readonly none = new ConnectionScarcity(-Infinity as Instant)

  /** A process that starts may follow a power loss of all hosts, its own host's earlier life among them. */
  static started (now: Instant): ConnectionScarcity {
    return new ConnectionScarcity(now + SCARCITY_MS as Instant)
  }

  /** The endpoint took no more connections. */
  refused (now: Instant): ConnectionScarcity {
    return new ConnectionScarcity(now + SCARCITY_MS as Instant)
  }

  /** How long an unused connection is kept, in milliseconds; undefined for as long as it lasts. */
  idleTimeoutMs (now: Instant): number | undefined {
    return now < this.until ? IDLE_TIMEOUT_MS : undefined
  }
}
