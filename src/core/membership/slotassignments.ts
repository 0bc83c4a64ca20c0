/**
 * The slots that are assigned to one host, and the hosts that may hold those of
 * an endpoint. Computed over all endpoints only when the hosts or the
 * configuration have changed.
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
  /** Over the hosts that slots are placed on. Asked for one host more than there are slots: the one that would take over. */
  readonly placement: Placement
  /** Over all listed hosts, including the silent and the leaving ones. */
  readonly fullPlacement: Placement
}

/** Immutable; `withHosts` returns the same value when nothing has changed. */
export class SlotAssignments {
  /** This host's rank for each endpoint of which it's assigned a slot; 0 for the owner that decides first on a failure. */
  private readonly ranks: ReadonlyMap<EndpointId, number>
  /**
   * Endpoints whose slots this host owns or would take over next. It keeps links
   * to their owners, because the host list shows a failed host as live for a
   * long time.
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
    // Usually no host is silent and both are the same, which saves half of the work.
    const fullPlacement = candidates.length === all.length ? placement : this.fields.fullPlacement.with(all)
    if (placement === this.fields.placement && fullPlacement === this.fields.fullPlacement) return this
    return new SlotAssignments({ ...this.fields, placement, fullPlacement })
  }

  get endpoints (): readonly EndpointId[] {
    return [...this.ranks.keys()]
  }

  /** All endpoints of the configuration, whoever owns their slots. */
  get allEndpoints (): readonly EndpointId[] {
    return [...this.fields.groups.keys()]
  }

  group (endpoint: EndpointId): DatabaseGroup | undefined {
    return this.fields.groups.get(endpoint)
  }

  /** Whether the configuration marks the endpoint as leaving. */
  isLeaving (endpoint: EndpointId): boolean {
    return this.group(endpoint)?.endpoints.find(one => one.id === endpoint)?.leaving === true
  }

  rank (endpoint: EndpointId): number | undefined {
    return this.ranks.get(endpoint)
  }

  /** The hosts that the endpoint's slots are assigned to. */
  assignedHosts (endpoint: EndpointId): readonly HostId[] {
    const group = this.fields.groups.get(endpoint)
    if (group === undefined) return []
    return this.fields.placement.hosts(endpoint, group.slotsPerEndpoint + 1).slice(0, group.slotsPerEndpoint)
  }

  /** Hosts that may hold a slot now: those assigned with and without the silent hosts, and one more that may have stood in. */
  possibleHolders (endpoint: EndpointId): readonly HostId[] {
    const { groups, placement, fullPlacement } = this.fields
    const group = groups.get(endpoint)
    if (group === undefined) return []
    const hosts = placement.hosts(endpoint, group.slotsPerEndpoint + 1)
    if (fullPlacement === placement) return hosts
    return [...new Set([...fullPlacement.hosts(endpoint, group.slotsPerEndpoint + 1), ...hosts])]
  }
}
