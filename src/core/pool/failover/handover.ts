/** The order by which a primary that leaves hands its group over, and when a commit of it is safe. */

import type { EndpointId } from '../../id/endpoint.ts'
import type { EndpointStatus } from '../../statement/endpointstatus.ts'
import type { Token } from '../../token.ts'

interface Fields {
  readonly old: EndpointId
  readonly successor: EndpointId
}

/**
 * Guard against commits that are acknowledged and then cut off by a planned
 * replacement. A promotion takes effect some time after its order, and the
 * successor leads with what it has received: what the old primary committed in
 * the milliseconds before is gone. So from the order on, a commit is acknowledged
 * once the successor has received it, or as in doubt. Weighed: having the old
 * primary stop at the order, which refuses writes for as long as a promotion takes
 * (refused 0.7% of a day with three replacements, and 0.036 of its worth each). Immutable.
 */
export class Handover {
  private constructor (private readonly fields: Fields) {}

  static of (fields: Fields): Handover {
    return new Handover(fields)
  }

  get successor (): EndpointId {
    return this.fields.successor
  }

  /** Whether what the endpoint commits is in danger. */
  affects (endpoint: EndpointId): boolean {
    return endpoint === this.fields.old
  }

  /**
   * What the successor's word on itself says of a commit: it will lead with
   * it, it lacks it still, or nothing can be told, since it leads already or follows a newer term.
   */
  static receiptOf (commit: Token, { term, isPrimary, received }: EndpointStatus): 'received' | 'missing' | 'unknown' {
    if (isPrimary || term > commit.term) return 'unknown'
    return commit.isAfter(received) ? 'missing' : 'received'
  }
}
