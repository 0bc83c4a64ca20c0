/** Which endpoint of a group is taken for its primary, and why. */

import type { Directory } from '../../directory/directory.ts'
import type { EndpointId } from '../../id/endpoint.ts'
import type { GroupId } from '../../id/group.ts'
import type { Instant } from '../../id/instant.ts'

interface Fields {
  readonly group: GroupId
  readonly leader: EndpointId | undefined
  /** The term in which it's known to lead; 0 when only the directory says so. */
  readonly term: number
  /** When there last was a leader. */
  readonly leaderlessSince: Instant
  /** Endpoints that are listed as primary, the one that last began to call itself so first. */
  readonly listedPrimaries: readonly EndpointId[]
  /** Endpoints that refused as replicas since they last called themselves primary. */
  readonly refusedAsReplica: ReadonlySet<EndpointId>
  /** Endpoints that led before another did, and haven't called themselves replica since. */
  readonly replaced: ReadonlySet<EndpointId>
}

/**
 * Immutable; what is heard yields the next value.
 *
 * The directory says first who leads, since a new primary reports there at
 * once. It may be wrong or old, so an endpoint's own refusal goes before it:
 * one that refused as a replica isn't taken for the primary again until it
 * begins to call itself so, or proves it.
 *
 * Guard against a replaced primary that was cut off from the directory and
 * comes back: its first entry still calls it primary, as if it had just begun
 * to lead. It shows as writes that are refused, by an endpoint and then for want of a primary. So
 * one that was replaced is believed again only after it called itself a replica.
 */
export class Leadership {
  private constructor (private readonly fields: Fields) {}

  static create (group: GroupId, now: Instant): Leadership {
    return new Leadership({ group, leader: undefined, term: 0, leaderlessSince: now, listedPrimaries: [], refusedAsReplica: new Set(), replaced: new Set() })
  }

  get leader (): EndpointId | undefined {
    return this.fields.leader
  }

  /** Milliseconds without a known leader; 0 with one. */
  leaderlessMs (now: Instant): number {
    return this.fields.leader === undefined ? now - this.fields.leaderlessSince : 0
  }

  directoryChanged (before: Directory, after: Directory): Leadership {
    const { group, leader } = this.fields
    const members = after.group(group)
    const reborn = new Set(members.filter(({ id, startedAtMs: bornAt }) => before.get(id)?.startedAtMs !== bornAt).map(({ id }) => id))
    const began = members.filter(({ id, isPrimary }) => isPrimary && (before.get(id)?.isPrimary !== true || reborn.has(id))).map(({ id }) => id)
    const replicas = new Set(members.filter(({ isPrimary }) => !isPrimary).map(({ id }) => id))
    const next = this.with({
      listedPrimaries: after.primaries(group).map(({ id }) => id),
      refusedAsReplica: new Set([...this.fields.refusedAsReplica].filter(id => after.get(id) !== undefined && !began.includes(id) && !reborn.has(id))),
      replaced: new Set([...this.fields.replaced].filter(id => !replicas.has(id)))
    })
    const [newest] = next.fields.listedPrimaries
    if (newest !== undefined && began.includes(newest) && !next.fields.replaced.has(newest)) return next.withLeader(newest, 0)
    const hasStopped = leader !== undefined && replicas.has(leader) && before.get(leader)?.isPrimary === true
    const isKept = leader !== undefined && after.get(leader) !== undefined && !hasStopped
    const claimed = isKept ? undefined : next.bestListedPrimary
    return claimed === undefined ? next : next.withLeader(claimed, 0)
  }

  /** An endpoint refused what only a primary takes. */
  refused (endpoint: EndpointId, now: Instant): Leadership {
    const next = this.with({ refusedAsReplica: new Set([...this.fields.refusedAsReplica, endpoint]) })
    if (endpoint !== this.fields.leader) return next
    const { bestListedPrimary: claimed } = next
    return claimed === undefined ? next.with({ leader: undefined, term: 0, leaderlessSince: now }) : next.withLeader(claimed, 0)
  }

  /** An endpoint did what only a primary can, or said that it's primary, in the term. */
  proved (endpoint: EndpointId, term: number): Leadership {
    const { leader } = this.fields
    if (endpoint === leader && term === this.fields.term) return this
    if (endpoint !== leader && term <= this.fields.term) return this
    const next = this.withLeader(endpoint, term)
    const { refusedAsReplica: disowned, replaced } = next.fields
    return next.with({ refusedAsReplica: without(disowned, endpoint), replaced: without(replaced, endpoint) })
  }

  /** The listed primary that is most to be believed; one that was replaced is the last resort, since its own refusal corrects it. */
  private get bestListedPrimary (): EndpointId | undefined {
    const { listedPrimaries: claims, refusedAsReplica: disowned, replaced } = this.fields
    const usable = claims.filter(id => !disowned.has(id))
    return usable.find(id => !replaced.has(id)) ?? usable[0]
  }

  private withLeader (leader: EndpointId, term: number): Leadership {
    const { leader: old, replaced } = this.fields
    if (old === leader) return this.with({ term: term === 0 ? this.fields.term : term })
    return this.with({ leader, term, replaced: old === undefined ? replaced : new Set([...replaced, old]) })
  }

  private with (change: Partial<Fields>): Leadership {
    return new Leadership({ ...this.fields, ...change })
  }
}

function without (ids: ReadonlySet<EndpointId>, id: EndpointId): ReadonlySet<EndpointId> {
  return new Set([...ids].filter(other => other !== id))
}
