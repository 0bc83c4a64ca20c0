/** The endpoints that the directory lists, and which of them call themselves primary. */

import type { EndpointId } from '../id/endpoint.ts'
import type { GroupId } from '../id/group.ts'
import type { Endpoint } from './endpoint.ts'

interface Entry {
  readonly endpoint: Endpoint
  /** The version of the change since which the endpoint calls itself primary. */
  readonly primarySince: number
}

/** Immutable; `with` and `without` return the next directory. */
export class Directory {
  private constructor (private readonly entries: ReadonlyMap<EndpointId, Entry>) {}

  static readonly empty = new Directory(new Map())

  /** `version` increases with every change. */
  with (endpoint: Endpoint, version: number): Directory {
    const old = this.entries.get(endpoint.id)
    const leadsSince = old?.endpoint.isPrimary === true ? old.primarySince : version
    return new Directory(new Map([...this.entries, [endpoint.id, { endpoint, primarySince: leadsSince }]]))
  }

  without (id: EndpointId): Directory {
    if (!this.entries.has(id)) return this
    return new Directory(new Map([...this.entries].filter(([other]) => other !== id)))
  }

  get ids (): readonly EndpointId[] {
    return [...this.entries.keys()]
  }

  get (id: EndpointId): Endpoint | undefined {
    return this.entries.get(id)?.endpoint
  }

  group (id: GroupId): readonly Endpoint[] {
    return [...this.entries.values()].map(({ endpoint }) => endpoint).filter(endpoint => endpoint.group === id)
  }

  /**
   * The endpoints that call themselves primary, the newest first. A replaced
   * primary that is cut off from the directory still has an entry as primary
   * beside that of its successor, and must not get the writes first.
   */
  primaries (id: GroupId): readonly Endpoint[] {
    return [...this.entries.values()]
      .filter(({ endpoint }) => endpoint.group === id && endpoint.isPrimary)
      .sort((a, b) => b.primarySince - a.primarySince)
      .map(({ endpoint }) => endpoint)
  }
}
