/** The endpoints of a group that may hold acknowledged commits, and whether a promotion could lose one of them. */

import type { Endpoint } from '../../directory/endpoint.ts'
import type { EndpointId } from '../../id/endpoint.ts'
import type { Instant } from '../../id/instant.ts'
import type { EndpointStatus } from '../../statement/endpointstatus.ts'
import type { Token } from '../../token.ts'

/** An endpoint that disappeared from the directory. It may come back with its log. */
interface Missing {
  readonly address: string
  /** On the clock that counts suspension. */
  readonly since: Instant
  /** A position that includes every commit that the endpoint has received; undefined until the primary answers one. */
  readonly coveredBy: Token | undefined
}

type Addresses = ReadonlyMap<EndpointId, string>
type MissingEndpoints = ReadonlyMap<EndpointId, Missing>

/**
 * Where commits wait for one replica, an acknowledged commit may be in the log of a single replica. So the longest log is complete only
 * if every replica has answered. An endpoint that is no longer listed counts as well, unless the chosen log includes a position that the
 * primary had after the endpoint disappeared: all that the endpoint can have received came before. Immutable.
 */
export class CommitHolders {
  private constructor (private readonly listed: Addresses, private readonly missing: MissingEndpoints) {}

  static readonly none = new CommitHolders(new Map(), new Map())

  /** Whether an answer of the primary is needed to know what a missing endpoint may have received. */
  get needsAnswer (): boolean {
    return [...this.missing.values()].some(({ coveredBy }) => coveredBy === undefined)
  }

  /** The directory lists these endpoints from now on. A new endpoint at the address of a missing one has taken over its log. */
  directoryChanged (endpoints: readonly Endpoint[], now: Instant): CommitHolders {
    const listed: Addresses = new Map(endpoints.map(({ id, address: { ip, port } }) => [id, `${ip}:${port}`]))
    const addresses = new Set(listed.values())
    const disappeared = [...this.listed].map(([id, address]) => [id, { address, since: now, coveredBy: undefined }] as const)
    const missing = [...this.missing, ...disappeared].filter(([id, { address }]) => !listed.has(id) && !addresses.has(address))
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
    const listed = [...this.listed.keys()].filter(id => !statuses.has(id))
    const missing = [...this.missing].filter(([, { coveredBy }]) => coveredBy === undefined || coveredBy.isAfter(received)).map(([id]) => id)
    return [...listed, ...missing].filter(id => id !== old)
  }
}
