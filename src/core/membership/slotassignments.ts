/**
 * The slots that fall to one host, and the hosts that may hold those of an
 * endpoint. Looks at every endpoint only when the hosts or the configuration
 * have changed, so that its cost doesn't grow with the time that passes.
 */

import type { Config } from '../config/config.ts'
import type { EndpointId } from '../id/endpoint.ts'
import type { HostId } from '../id/host.ts'
import type { Host } from './host.ts'
import { Placement } from './placement.ts'

type DatabaseGroup = Config['groups'][number]

interface Fields {
  readonly self: HostId
  readonly groups: ReadonlyMap<EndpointId, DatabaseGroup>
  /** Over the hosts that slots are placed on. Asked for one host more than there are slots: who would stand in. */
  readonly placement: Placement
  /** Over all hosts of the list, the silent and the leaving ones too. */
  readonly fullPlacement: Placement
}

/** Immutable; `withHosts` yields the same value when nothing has changed. */
export class SlotAssignments {
  /** This host's rank for each endpoint that it's due to hold a slot of; 0 for the one that judges the endpoint first. */
  private readonly ranks: ReadonlyMap<EndpointId, number>
  /**
   * Endpoints whose slots this host holds or would take over next. It has to
   * watch their owners: what it doesn't watch it takes from a list that shows
   * a dead host as live for a long time.
   */
  readonly monitoredEndpoints: readonly EndpointId[]

  private constructor (private readonly fields: Fields) {
    const ranks = new Map<EndpointId, number>()
    for (const endpoint of fields.groups.keys()) {
      const rank = this.assignedHosts(endpoint).indexOf(fields.self)
      if (rank >= 0) ranks.set(endpoint, rank)
    }
    this.ranks = ranks
    this.monitoredEndpoints = [...fields.groups.keys()].filter(endpoint => this.possibleHolders(endpoint).includes(fields.self))
  }

  static of (self: HostId): SlotAssignments {
    return new SlotAssignments({ self, groups: new Map(), placement: Placement.empty, fullPlacement: Placement.empty })
  }

  withConfig (config: Config): SlotAssignments {
    const groups = new Map(config.groups.flatMap(group => group.endpoints.map(({ id }) => [id, group])))
    return new SlotAssignments({ ...this.fields, groups })
  }

  withHosts (candidates: readonly Host[], all: readonly Host[]): SlotAssignments {
    const placement = this.fields.placement.with(candidates)
    // Most of the time nobody is silent and both are the same, which saves half of the work.
    const listed = candidates.length === all.length ? placement : this.fields.fullPlacement.with(all)
    if (placement === this.fields.placement && listed === this.fields.fullPlacement) return this
    return new SlotAssignments({ ...this.fields, placement, fullPlacement: listed })
  }

  get endpoints (): readonly EndpointId[] {
    return [...this.ranks.keys()]
  }

  /** Of the configuration, whoever holds their slots. */
  get allEndpoints (): readonly EndpointId[] {
    return [...this.fields.groups.keys()]
  }

  group (endpoint: EndpointId): DatabaseGroup | undefined {
    return this.fields.groups.get(endpoint)
  }

  /** Whether the configuration says that the endpoint is to be left. */
  isLeaving (endpoint: EndpointId): boolean {
    return this.group(endpoint)?.endpoints.find(one => one.id === endpoint)?.leaving === true
  }

  rank (endpoint: EndpointId): number | undefined {
    return this.ranks.get(endpoint)
  }

  /** The hosts that are to hold the endpoint's slots. */
  assignedHosts (endpoint: EndpointId): readonly HostId[] {
    const group = this.fields.groups.get(endpoint)
    if (group === undefined) return []
    return this.fields.placement.hosts(endpoint, group.slotsPerEndpoint + 1).slice(0, group.slotsPerEndpoint)
  }

  /** Hosts that may hold one now: those that are due with and without the silent ones, and one more that stood in for one. */
  possibleHolders (endpoint: EndpointId): readonly HostId[] {
    const { groups, placement, fullPlacement: listed } = this.fields
    const group = groups.get(endpoint)
    if (group === undefined) return []
    const hosts = placement.hosts(endpoint, group.slotsPerEndpoint + 1)
    if (listed === placement) return hosts
    return [...new Set([...listed.hosts(endpoint, group.slotsPerEndpoint + 1), ...hosts])]
  }
}
