/** The endpoints that the directory lists, and who leads each group. */

import type { EndpointId } from '../id/endpoint.ts'
import type { GroupId } from '../id/group.ts'
import type { Endpoint } from './endpoint.ts'

interface Listed {
  readonly endpoint: Endpoint
  /** The version of the change since which it calls itself primary. */
  readonly leadsSince: number
}

/** Immutable; `with` and `without` yield the next directory. */
export class Directory {
  private constructor (private readonly listed: ReadonlyMap<EndpointId, Listed>) {}

  static readonly empty = new Directory(new Map())

  /** `version` grows from change to change. */
  with (endpoint: Endpoint, version: number): Directory {
    const old = this.listed.get(endpoint.id)
    const leadsSince = old?.endpoint.isPrimary === true ? old.leadsSince : version
    return new Directory(new Map([...this.listed, [endpoint.id, { endpoint, leadsSince }]]))
  }

  without (id: EndpointId): Directory {
    if (!this.listed.has(id)) return this
    return new Directory(new Map([...this.listed].filter(([other]) => other !== id)))
  }

  get ids (): readonly EndpointId[] {
    return [...this.listed.keys()]
  }

  get (id: EndpointId): Endpoint | undefined {
    return this.listed.get(id)?.endpoint
  }

  group (id: GroupId): readonly Endpoint[] {
    return [...this.listed.values()].map(({ endpoint }) => endpoint).filter(endpoint => endpoint.group === id)
  }

  /**
   * The endpoints that call themselves primary, the one that last began to first.
   * Guard against a replaced primary that is cut off from the directory: its entry still says
   * primary beside that of its successor, and writes would go to it first.
   */
  primaries (id: GroupId): readonly Endpoint[] {
    return [...this.listed.values()]
      .filter(({ endpoint }) => endpoint.group === id && endpoint.isPrimary)
      .sort((a, b) => b.leadsSince - a.leadsSince)
      .map(({ endpoint }) => endpoint)
  }
}
