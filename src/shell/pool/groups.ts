/** The configured groups, their owners, and the failover of their primaries. */

import type { Directory } from '../../core/directory/directory.ts'
import type { GroupId } from '../../core/id/group.ts'
import type { Instant } from '../../core/id/instant.ts'
import type { PoolConfig } from '../../core/pool/config.ts'
import type { Row } from '../../core/pool/membership/row.ts'
import { GroupPlaces } from '../../core/pool/placing/groupplaces.ts'
import type { PoolHost } from '../../core/pool/placing/host.ts'
import { singleOwnerAffinity } from '../../core/pool/placing/singleowneraffinity.ts'
import type { Ownership } from '../../core/pool/placing/ownership.ts'
import { Ownerships } from '../../core/pool/placing/ownerships.ts'
import type { TeamAffinity } from '../../core/pool/placing/teamaffinity.ts'
import type { Log } from '../log/log.ts'
import { PoolGroup } from './group.ts'
import type { PoolMetrics } from './metrics.ts'
import type { Platform } from './platform.ts'
import { FailoverController } from './failover/failovercontroller.ts'

interface Options {
  readonly self: PoolHost
  /** Milliseconds for which an endpoint keeps serving after it announced that it leaves. */
  readonly drainMs: number
  /** The store table that all hosts share. */
  readonly table: string
  /** Which owners serve a team's sessions where a group has few owners. */
  readonly affinity?: TeamAffinity | undefined
  readonly platform: Platform
  readonly log: Log
  readonly metrics: PoolMetrics
  readonly chance: () => number
  /** When this process started. */
  readonly startedAt: Instant
  readonly config: () => PoolConfig
  readonly directory: () => Directory
  readonly hosts: () => readonly PoolHost[]
  readonly signal: AbortSignal
}

export class PoolGroups {
  private readonly groups = new Map<GroupId, PoolGroup>()
  private readonly places = new Map<GroupId, GroupPlaces>()
  private readonly failovers = new Map<GroupId, FailoverController>()
  /** Rows of the shared table by key, kept for groups that aren't configured yet. */
  private readonly sharedRows = new Map<string, Row>()
  private ownerships = Ownerships.none

  private constructor (private readonly options: Options) {}

  static create (options: Options): PoolGroups {
    return new PoolGroups(options)
  }

  get all (): Iterable<PoolGroup> {
    return this.groups.values()
  }

  get (id: GroupId): PoolGroup | undefined {
    return this.groups.get(id)
  }

  ownership (id: GroupId): Ownership | undefined {
    return this.ownerships.get(id)
  }

  /** Takes in a change of the directory. `staleMs`: milliseconds for which the store may have had it. */
  updateDirectory (staleMs: number): void {
    const directory = this.options.directory()
    for (const group of this.groups.values()) group.updateDirectory(directory, staleMs)
    if (this.updatePlaces()) this.assignOwners()
  }

  /** Takes in a change of the configuration. */
  applyConfig (): void {
    const configuredIds = new Set(this.options.config().groups.map(({ id }) => id))
    for (const [id, group] of this.groups) {
      if (configuredIds.has(id)) continue
      group.close()
      this.groups.delete(id)
      this.places.delete(id)
      this.failovers.delete(id)
    }
    for (const id of configuredIds) {
      if (this.groups.has(id)) continue
      const { self, drainMs, platform, log, metrics, chance, startedAt, directory } = this.options
      const group = PoolGroup.create({ id, dataCentre: self.dataCentre, drainMs, dialer: platform.dialer, log, metrics, chance, startedAt })
      group.updateDirectory(directory(), Infinity)
      this.groups.set(id, group)
      this.failovers.set(id, this.createFailover(group))
    }
    this.updatePlaces()
    this.assignOwners()
  }

  /** Takes in a row of the shared table; ignores rows of other kinds. */
  applySharedRow (row: Row): void {
    const [kind, name] = row.key.split('/')
    if (kind === 'lease' || kind === 'handover' || kind === 'ended') this.sharedRows.set(row.key, row)
    const successor = this.failovers.get(name as GroupId)
    if (kind === 'lease') successor?.leaseChanged(row)
    if (kind === 'objection') successor?.objectionMade(row)
    if (kind === 'handover') successor?.handoverAnnounced(row)
    if (kind === 'ended') successor?.failoverEnded(row)
  }

  tick (): void {
    for (const successor of this.failovers.values()) successor.tick()
  }

  /** Recomputes the owners of each group. */
  assignOwners (): void {
    const { self, config, hosts, affinity = singleOwnerAffinity } = this.options
    const { groups, teams } = config()
    const groupSizes = groups.map(({ id, connections }) => ({ id, connections, places: this.places.get(id) ?? GroupPlaces.none }))
    const before = this.ownerships
    this.ownerships = Ownerships.of(groupSizes, hosts(), teams !== undefined, affinity)
    for (const { id } of groups) {
      const ownership = this.ownerships.get(id)!
      this.logOwners(id, before.get(id), ownership)
      const isOwner = ownership.isOwner(self.id)
      const isAssigned = isOwner && ownership.hasSpareConnections
      const others = isAssigned ? ownership.owners.filter(owner => owner.id !== self.id) : []
      this.groups.get(id)?.setShare({ connections: isOwner ? ownership.connectionsPerOwner : 1, isOwner, hasSpareConnections: isAssigned, otherOwners: others })
    }
  }

  /** Only owners log a change of owners, since hundreds of hosts would each log every host that comes or goes. */
  private logOwners (group: GroupId, before: Ownership | undefined, { owners, connectionsPerOwner, hasSpareConnections }: Ownership): void {
    const { self, log } = this.options
    const namesOf = (hosts: readonly PoolHost[]) => hosts.map(({ id }) => id).sort().join(' ')
    const isConcerned = [...owners, ...before?.owners ?? []].some(({ id }) => id === self.id)
    if (!hasSpareConnections || !isConcerned || namesOf(owners) === namesOf(before?.owners ?? [])) return
    log.write('ownersPicked', { group, owners: namesOf(owners), connections: connectionsPerOwner })
  }

  /** Updates the number of places of each group; returns whether one changed. */
  private updatePlaces (): boolean {
    let isChanged = false
    for (const [id, { endpoints }] of this.groups) {
      const before = this.places.get(id) ?? GroupPlaces.none
      const next = before.with(endpoints)
      this.places.set(id, next)
      isChanged ||= next !== before
    }
    return isChanged
  }

  private createFailover (group: PoolGroup): FailoverController {
    const { self, platform, table, log, metrics, drainMs, hosts, config, signal } = this.options
    const successor = FailoverController.create({
      host: self.id,
      drainMs,
      group,
      platform,
      table,
      log,
      metrics,
      hosts,
      failoverOrder: () => this.ownerships.get(group.id)?.failoverOrder ?? [self.id],
      isSynchronous: () => config().group(group.id)?.isSynchronous === true,
      signal
    })
    const lease = this.sharedRows.get(`lease/${group.id}`)
    const handover = this.sharedRows.get(`handover/${group.id}`)
    if (lease !== undefined) successor.leaseChanged(lease)
    if (handover !== undefined) successor.handoverAnnounced(handover)
    const ended = this.sharedRows.get(`ended/${group.id}`)
    if (ended !== undefined) successor.failoverEnded(ended)
    return successor
  }
}
