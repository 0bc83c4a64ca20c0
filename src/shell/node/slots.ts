/** The slots of this process and the ways to those of others: one port for each endpoint. */

import { create } from '@bufbuild/protobuf'
import { WroteSchema, type Frame, type Sample as SampleFrame, type Wrote } from '../../gen/peer_pb.ts'
import type { Config } from '../../core/config/config.ts'
import { Group } from '../../core/group/group.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { HostId } from '../../core/id/host.ts'
import type { Instant } from '../../core/id/instant.ts'
import type { Position } from '../../core/id/position.ts'
import type { Term } from '../../core/id/term.ts'
import type { TransactionId } from '../../core/id/transaction.ts'
import { placeSlots } from '../../core/routing/placement.ts'
import type { parseSettings } from '../../core/settings/settings.ts'
import type { Groups } from '../caller/groups.ts'
import { SlotOwner } from '../endpoint/owner.ts'
import type { Log } from '../log/log.ts'
import type { Metrics } from '../metrics/metrics.ts'
import { sampleFrame } from '../peer/frames.ts'
import { PeerLink } from '../peer/link.ts'
import type { SlotPort } from '../peer/port.ts'
import type { HostList } from '../platform/hostlist.ts'
import type { TableService } from '../platform/tableservice.ts'

type Settings = ReturnType<ReturnType<typeof parseSettings>['_unsafeUnwrap']>
type Host = Awaited<ReturnType<HostList['hosts']>>[number]
type DatabaseGroup = Config['groups'][number]

interface Options {
  readonly settings: Settings
  readonly incarnation: string
  readonly groups: Groups
  readonly table: TableService
  readonly log: Log
  readonly metrics: Metrics
  readonly now: () => Instant
  readonly chance: () => number
  /** Sends a sample to every linked peer. */
  readonly broadcast: (frame: SampleFrame) => void
  /** Tells every linked peer of a write on a slot of this process. */
  readonly broadcastWrite: (frame: Wrote) => void
  readonly onLinked: (host: HostId) => void
  readonly onConfig: (from: HostId, body: Frame['body']) => void
}

interface Held<T> {
  readonly value: T
  readonly stop: AbortController
}

/** Follows the host list and the configuration: holds the slots that fall to this host, links to the rest. */
export class Slots {
  private readonly owners = new Map<EndpointId, Held<SlotOwner>>()
  private readonly links = new Map<HostId, Held<PeerLink>>()
  private hosts: readonly Host[] = []
  private config: Config | undefined

  private constructor (private readonly options: Options) {}

  static create (options: Options): Slots {
    return new Slots(options)
  }

  useHosts (hosts: readonly Host[]): void {
    this.hosts = hosts
    this.place()
  }

  useConfig (config: Config): void {
    this.config = config
    for (const group of config.groups) {
      const known = this.options.groups.get(group.id)
      if (known === undefined) this.options.groups.set(Group.of(group.id, group.endpoints.map(one => one.id)))
    }
    this.place()
  }

  /** This process's own slot of the endpoint, else a linked peer's, in the order of placement. */
  port (endpoint: EndpointId): SlotPort | undefined {
    const own = this.owners.get(endpoint)
    if (own !== undefined) return localPort(own.value)
    return this.holders(endpoint)
      .map(host => this.links.get(host)?.value)
      .find(link => link?.isLinked === true)
  }

  /** This process's own slot, whoever else holds one. */
  owner (endpoint: EndpointId): SlotOwner | undefined {
    return this.owners.get(endpoint)?.value
  }

  /** Rolls back whatever the transaction has open on a slot of this process. */
  release (transaction: TransactionId): void {
    for (const owner of this.owners.values()) owner.value.release(transaction)
  }

  /** Sends a frame to a host if it's linked. */
  tell (host: HostId, body: Frame['body']): void {
    this.links.get(host)?.value.tell(body)
  }

  learn (frame: SampleFrame): void {
    const sample = sampleFrame.decode(frame, this.options.now())
    this.options.groups.learn(sample)
    for (const owner of this.owners.values()) owner.value.learn(sample)
  }

  /** Takes in who made a write, from an owner here or elsewhere. */
  private note ({ endpoint, term, position, session }: Wrote): void {
    this.options.groups.note(endpoint as EndpointId, term as Term, position as Position, session)
  }

  private get live (): readonly Host[] {
    return this.hosts.filter(host => host.state === 'live')
  }

  private holders (endpoint: EndpointId): readonly HostId[] {
    const group = this.config?.groups.find(one => one.endpoints.some(other => other.id === endpoint))
    return group === undefined ? [] : placeSlots(endpoint, this.live, group.slotsPerEndpoint)
  }

  private place (): void {
    this.linkPeers()
    const due = new Set<EndpointId>()
    for (const group of this.config?.groups ?? []) {
      for (const { id, leaving } of group.endpoints) {
        const rank = this.holders(id).indexOf(this.options.settings.host.id as HostId)
        if (rank < 0) continue
        due.add(id)
        if (!this.owners.has(id)) this.take(group, id, rank)
        this.owners.get(id)?.value.leave(leaving)
      }
    }
    for (const [id, held] of this.owners) {
      if (due.has(id)) continue
      held.stop.abort()
      this.owners.delete(id)
      this.options.log.write('slotLeft', { endpoint: id })
    }
    this.options.metrics.slots.set(this.owners.size)
  }

  private linkPeers (): void {
    const { settings, incarnation, log } = this.options
    for (const host of this.hosts) {
      if (host.id === settings.host.id || this.links.has(host.id)) continue
      const stop = new AbortController()
      const value = PeerLink.open({
        address: host.peers,
        self: settings.host.id as HostId,
        peer: host.id,
        incarnation,
        beatMs: settings.peers.beat,
        silentMs: settings.peers.silent,
        retryMs: settings.peers.retry,
        log,
        onSample: frame => this.learn(frame),
        onWrote: frame => this.note(frame),
        onLinked: () => this.options.onLinked(host.id),
        onConfig: body => this.options.onConfig(host.id, body)
      }, stop.signal)
      this.links.set(host.id, { value, stop })
    }
    for (const [id, held] of this.links) {
      if (this.hosts.some(host => host.id === id)) continue
      held.stop.abort()
      this.links.delete(id)
    }
  }

  private take (group: DatabaseGroup, endpoint: EndpointId, rank: number): void {
    const { settings, incarnation, groups, now, chance, log, metrics } = this.options
    const stop = new AbortController()
    const value = SlotOwner.start({
      endpoint,
      group: groups.get(group.id)!,
      addresses: addressesOf(group, settings),
      connections: group.connectionsPerSlot,
      rank,
      pace: {
        misses: settings.failover.misses,
        rankDelayMs: settings.failover.rankDelay,
        roundMs: settings.failover.round,
        jitterMs: settings.failover.jitter
      },
      probeMs: settings.failover.probe,
      probeTimeoutMs: settings.failover.probeTimeout,
      proposer: `${settings.host.id}/${incarnation}`,
      now,
      chance,
      log,
      confirmAt: async (at, term, position, ms) => {
        const port = this.port(at)
        if (port === undefined) throw new Error('nobody holds a slot of the endpoint')
        return await port.confirm(at, term, position, ms)
      },
      onSample: sample => {
        groups.learn(sample)
        for (const owner of this.owners.values()) owner.value.learn(sample)
        this.options.broadcast(sampleFrame.encode(sample))
      },
      onWrote: (term, position, session) => {
        const frame = create(WroteSchema, { endpoint, term, position, session })
        this.note(frame)
        this.options.broadcastWrite(frame)
      },
      record: action => {
        metrics.promotions.inc()
        this.options.table.create({
          pk: `promotion/${action.group}`,
          sk: String(action.term).padStart(12, '0'),
          revision: 1,
          body: JSON.stringify(action)
        }).catch((err: Error) => log.write('recordFailed', { group: action.group, term: action.term, err: err.message }))
      }
    }, stop.signal)
    this.owners.set(endpoint, { value, stop })
    log.write('slotTaken', { endpoint, rank })
  }
}

function localPort (owner: SlotOwner): SlotPort {
  return {
    run: (req, sink) => owner.run(req, sink),
    confirm: async (_endpoint, term, position, ms) => await owner.confirm(term, position, ms),
    release: transaction => owner.release(transaction)
  }
}

function addressesOf (group: DatabaseGroup, settings: Settings): Parameters<typeof SlotOwner.start>[0]['addresses'] {
  const { user, password, controlUser, controlPassword, connectTimeout } = settings.endpoints
  return new Map(group.endpoints.map(({ id, address }) => {
    const [ip, port] = address.split(':')
    const place = { ip: ip!, port: Number(port), database: group.database, connectMs: connectTimeout }
    return [id, {
      data: { ...place, user, password },
      control: { ...place, user: controlUser, password: controlPassword }
    }]
  }))
}
