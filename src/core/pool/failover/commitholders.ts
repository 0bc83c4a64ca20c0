/** The endpoints of a group that may hold acknowledged commits, and whether a promotion could lose one of them. */

import type { Endpoint } from '../../directory/endpoint.ts'
import type { EndpointId } from '../../id/endpoint.ts'
import type { Instant } from '../../id/instant.ts'
import type { EndpointStatus } from '../../statement/endpointstatus.ts'
import type { Token } from '../../token.ts'

/** An endpoint that disappeared from the directory. It may come back with its log, and may go on receiving if it only lost the store. */
interface Missing {
  readonly endpoint: Endpoint
  /** On the clock that counts suspension. */
  readonly since: Instant
  /** A position that includes every commit that the endpoint has received; undefined until the primary answers one. */
  readonly coveredBy: Token | undefined
}

type Listed = ReadonlyMap<EndpointId, Endpoint>
type MissingEndpoints = ReadonlyMap<EndpointId, Missing>

/**
 * Where commits wait for one replica, an acknowledged commit may be in the log of a single replica. So the longest log is complete only
 * if every replica has answered. An endpoint that is no longer listed counts as well and is asked too, since it may go on receiving. One
 * that doesn't answer has ended, as far as anybody can tell; it counts unless the chosen log includes a position that the primary had
 * after the endpoint disappeared. Immutable.
 */
export class CommitHolders {
  private constructor (private readonly listed: Listed, private readonly missing: MissingEndpoints) {}

  static readonly none = new CommitHolders(new Map(), new Map())

  /** Whether an answer of the primary is needed to know what a missing endpoint may have received. */
  get needsAnswer (): boolean {
    return [...this.missing.values()].some(({ coveredBy }) => coveredBy === undefined)
  }

  /** Endpoints that are no longer listed and may hold commits. */
  get unlisted (): readonly Endpoint[] {
    return [...this.missing.values()].map(({ endpoint }) => endpoint)
  }

  /** Endpoints that are listed now and weren't when `earlier` held, or have started again since. */
  listedSince (earlier: CommitHolders): readonly EndpointId[] {
    return [...this.listed].filter(([id, endpoint]) => {
      const before = earlier.listed.get(id)
      return before === undefined || before.startedAtMs !== endpoint.startedAtMs
    }).map(([id]) => id)
  }

  /** The directory lists these endpoints from now on. A new endpoint at the address of a missing one has taken over its log. */
  directoryChanged (endpoints: readonly Endpoint[], now: Instant): CommitHolders {
    const listed: Listed = new Map(endpoints.map(endpoint => [endpoint.id, endpoint]))
    const addresses = new Set(endpoints.map(addressOf))
    const disappeared = [...this.listed].map(([id, endpoint]) => [id, { endpoint, since: now, coveredBy: undefined }] as const)
    const missing = [...this.missing, ...disappeared].filter(([id, { endpoint }]) => !listed.has(id) && !addresses.has(addressOf(endpoint)))
    return new CommitHolders(listed, new Map(missing))
  }

  /** The primary answered the position to a request sent at the instant. After a promotion, logs of earlier terms no longer count. */
  primaryAnswered (position: Token, sentAt: Instant): CommitHolders {
    if (this.missing.size === 0) return this
    const missing = [...this.missing]
      .map(([id, one]) => [id, one.coveredBy === undefined && one.since <= sentAt ? { ...one, coveredBy: position } : one] as const)
      .filter(([, { coveredBy }]) => coveredBy === undefined || coveredBy.term >= position.term)
    return new CommitHolders(this.listed, new Map(missing))
  }

  /**
   * The endpoints without an answer that may hold acknowledged commits which the log up to `received` lacks. `old`: the primary to be
   * replaced, whose commits are acknowledged only once a replica has them.
   */
  unheard (statuses: ReadonlyMap<EndpointId, EndpointStatus>, received: Token, old: EndpointId | undefined): readonly EndpointId[] {
    const listed = [...this.listed.keys()]
    const missing = [...this.missing].filter(([, { coveredBy }]) => coveredBy === undefined || coveredBy.isAfter(received)).map(([id]) => id)
    return [...listed, ...missing].filter(id => id !== old && !statuses.has(id))
  }
}

function addressOf ({ address: { ip, port } }: Endpoint): string {
  return `${ip}:${port}`
}
