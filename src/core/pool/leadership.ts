/** Which endpoint of a group is taken for its primary, and why. */

import type { Directory } from '../directory/directory.ts'
import type { EndpointId } from '../id/endpoint.ts'
import type { GroupId } from '../id/group.ts'
import type { Instant } from '../id/instant.ts'

interface Fields {
  readonly group: GroupId
  readonly leader: EndpointId | undefined
  /** The term in which it's known to lead; 0 when only the directory says so. */
  readonly term: number
  /** When there last was a leader. */
  readonly lostAt: Instant
  /** Endpoints that refused as replicas since they last called themselves primary. */
  readonly disowned: ReadonlySet<EndpointId>
}

/**
 * Immutable; what is heard yields the next value.
 *
 * The directory says first who leads, since a new primary reports there at
 * once. It may be wrong or old, so an endpoint's own refusal goes before it:
 * one that refused as a replica isn't taken for the primary again until it
 * begins to call itself so, or proves it.
 */
export class Leadership {
  private constructor (private readonly fields: Fields) {}

  static create (group: GroupId, now: Instant): Leadership {
    return new Leadership({ group, leader: undefined, term: 0, lostAt: now, disowned: new Set() })
  }

  get leader (): EndpointId | undefined {
    return this.fields.leader
  }

  /** Milliseconds without a known leader; 0 with one. */
  missingMs (now: Instant): number {
    return this.fields.leader === undefined ? now - this.fields.lostAt : 0
  }

  listed (before: Directory, after: Directory): Leadership {
    const { group, disowned } = this.fields
    const claimed = after.primary(group)?.id
    const began = after.group(group).filter(({ id, isPrimary }) => isPrimary && before.get(id)?.isPrimary !== true)
    const left = new Set([...disowned].filter(id => after.get(id) !== undefined && !began.some(one => one.id === id)))
    const isNews = began.length > 0 || this.fields.leader === undefined || after.get(this.fields.leader) === undefined
    const leader = isNews && claimed !== undefined && !left.has(claimed) ? claimed : this.fields.leader
    return this.with({ leader, disowned: left, term: leader === this.fields.leader ? this.fields.term : 0 })
  }

  /** An endpoint refused what only a primary takes. */
  refused (endpoint: EndpointId, now: Instant): Leadership {
    const disowned = new Set([...this.fields.disowned, endpoint])
    if (endpoint !== this.fields.leader) return this.with({ disowned })
    return this.with({ disowned, leader: undefined, term: 0, lostAt: now })
  }

  /** An endpoint did what only a primary can, or said that it's primary, in the term. */
  proved (endpoint: EndpointId, term: number): Leadership {
    const { leader, disowned } = this.fields
    if (endpoint === leader && term === this.fields.term) return this
    if (endpoint !== leader && term <= this.fields.term) return this
    return this.with({ leader: endpoint, term, disowned: new Set([...disowned].filter(id => id !== endpoint)) })
  }

  private with (change: Partial<Fields>): Leadership {
    return new Leadership({ ...this.fields, ...change })
  }
}
