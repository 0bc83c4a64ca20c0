/** The endpoints that the directory lists, and who leads each group. */

import type { EndpointId } from '../id/endpoint.ts'
import type { GroupId } from '../id/group.ts'
import type { Endpoint } from './endpoint.ts'

interface Entry {
  readonly endpoint: Endpoint
  /** The version of the change since which it calls itself primary. */
  readonly primarySince: number
}

/** Immutable; `with` and `without` yield the next directory. */
export class Directory {
  private constructor (private readonly entries: ReadonlyMap<EndpointId, Entry>) {}

  static readonly empty = new Directory(new Map())

  /** `version` grows from change to change. */
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
   * The endpoints that call themselves primary, the one that last began to first.
   * Guard against a replaced primary that is cut off from the directory: its entry still says
   * primary beside that of its successor, and writes would go to it first.
   */
  primaries (id: GroupId): readonly Endpoint[] {
    return [...this.entries.values()]
      .filter(({ endpoint }) => endpoint.group === id && endpoint.isPrimary)
      .sort((a, b) => b.primarySince - a.primarySince)
      .map(({ endpoint }) => endpoint)
  }
}
