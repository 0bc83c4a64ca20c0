/** Decides which endpoint of a group is believed to be its primary. */

import type { Directory } from '../../directory/directory.ts'
import type { EndpointId } from '../../id/endpoint.ts'
import type { GroupId } from '../../id/group.ts'
import type { Instant } from '../../id/instant.ts'

interface Fields {
  readonly group: GroupId
  readonly leader: EndpointId | undefined
  /** The term in which the leader proved to lead; 0 when only the directory says so. */
  readonly term: number
  /** Since when no leader is known. */
  readonly leaderlessSince: Instant
  /** Endpoints that the directory lists as primary, the most recent one first. */
  readonly listedPrimaries: readonly EndpointId[]
  /** Endpoints that refused a write as replicas after they were last listed as primary. */
  readonly refusedAsReplica: ReadonlySet<EndpointId>
  /** Former leaders that haven't been listed as replicas since they were replaced. */
  readonly replaced: ReadonlySet<EndpointId>
}

/**
 * Immutable; each observation returns the next value.
 *
 * The directory is the first source, since a new primary reports there at once. Its entries may be outdated, so an endpoint's own answer
 * takes precedence: one that refused as a replica isn't believed to be primary until it is newly listed as one or proves it.
 *
 * A replaced primary that was cut off from the directory may come back with an old entry that still calls it primary. It is believed
 * again only after it was listed as a replica.
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

  /** The directory changed. An endpoint that is newly listed as primary becomes the leader, unless it was replaced. */
  directoryChanged (before: Directory, after: Directory): Leadership {
    const { group, leader } = this.fields
    const members = after.group(group)
    const restarted = new Set(members.filter(({ id, startedAtMs }) => before.get(id)?.startedAtMs !== startedAtMs).map(({ id }) => id))
    const newPrimaries = members.filter(({ id, isPrimary }) => isPrimary && (before.get(id)?.isPrimary !== true || restarted.has(id))).map(({ id }) => id)
    const replicas = new Set(members.filter(({ isPrimary }) => !isPrimary).map(({ id }) => id))
    const next = this.with({
      listedPrimaries: after.primaries(group).map(({ id }) => id),
      refusedAsReplica: new Set([...this.fields.refusedAsReplica].filter(id => after.get(id) !== undefined && !newPrimaries.includes(id) && !restarted.has(id))),
      replaced: new Set([...this.fields.replaced].filter(id => !replicas.has(id)))
    })
    const [newest] = next.fields.listedPrimaries
    if (newest !== undefined && newPrimaries.includes(newest) && !next.fields.replaced.has(newest)) return next.withLeader(newest, 0)
    const hasStopped = leader !== undefined && replicas.has(leader) && before.get(leader)?.isPrimary === true
    const isStillPrimary = leader !== undefined && after.get(leader) !== undefined && !hasStopped
    const newLeader = isStillPrimary ? undefined : next.bestListedPrimary
    return newLeader === undefined ? next : next.withLeader(newLeader, 0)
  }

  /** The endpoint refused a statement that only a primary runs. */
  refused (endpoint: EndpointId, now: Instant): Leadership {
    const next = this.with({ refusedAsReplica: new Set([...this.fields.refusedAsReplica, endpoint]) })
    if (endpoint !== this.fields.leader) return next
    const { bestListedPrimary } = next
    return bestListedPrimary === undefined ? next.with({ leader: undefined, term: 0, leaderlessSince: now }) : next.withLeader(bestListedPrimary, 0)
  }

  /** The endpoint ran a statement that only a primary runs, or answered that it is primary, in the term. */
  proved (endpoint: EndpointId, term: number): Leadership {
    const { leader } = this.fields
    if (endpoint === leader && term === this.fields.term) return this
    if (endpoint !== leader && term <= this.fields.term) return this
    const next = this.withLeader(endpoint, term)
    const { refusedAsReplica, replaced } = next.fields
    return next.with({ refusedAsReplica: without(refusedAsReplica, endpoint), replaced: without(replaced, endpoint) })
  }

  /** The most credible listed primary. A replaced one is the last resort: if it doesn't lead, its refusal corrects the choice. */
  private get bestListedPrimary (): EndpointId | undefined {
    const { listedPrimaries, refusedAsReplica, replaced } = this.fields
    const usable = listedPrimaries.filter(id => !refusedAsReplica.has(id))
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
