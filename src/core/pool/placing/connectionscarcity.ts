/** Whether connections to an endpoint are scarce, and how long an idle one is kept. */

import type { Instant } from '../../id/instant.ts'

/** An endpoint still counts the connections of a host that lost power for about three seconds; a second is added as a margin. */
const SCARCITY_MS = 4000
/** Idle timeout while other hosts may lack a connection: about the time that opening one takes. */
const IDLE_TIMEOUT_MS = 30

/**
 * After a power loss of all hosts an endpoint has few free connections. The first host to return takes its whole share of them and leaves most of them
 * idle, while the others can't connect for seconds. A host can't see that others lack connections, but may expect it if it has just started or was itself
 * refused; it then closes idle connections early. Immutable.
 */
export class ConnectionScarcity {
  private constructor (private readonly until: Instant) {}

  /** Connections aren't scarce until one is refused. */
  static readonly none = new ConnectionScarcity(-Infinity as Instant)

  /** A process that starts may follow a power loss of all hosts. */
  static started (now: Instant): ConnectionScarcity {
    return new ConnectionScarcity(now + SCARCITY_MS as Instant)
  }

  /** The endpoint refused a connection. */
  refused (now: Instant): ConnectionScarcity {
    return new ConnectionScarcity(now + SCARCITY_MS as Instant)
  }

  /** How long an idle connection is kept, in milliseconds; undefined for no limit. */
  idleTimeoutMs (now: Instant): number | undefined {
    return now < this.until ? IDLE_TIMEOUT_MS : undefined
  }
}
