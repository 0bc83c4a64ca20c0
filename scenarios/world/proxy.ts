/** One proxy process of a run: the product's parts with fakes for its sockets; mirrors src/shell/node. */

import type { Config } from '../../src/core/config/config.ts'
import type { FailoverAction } from '../../src/core/failover/action.ts'
import { Group } from '../../src/core/group/group.ts'
import type { Sample } from '../../src/core/group/sample.ts'
import type { DataCentreId } from '../../src/core/id/datacentre.ts'
import type { EndpointId } from '../../src/core/id/endpoint.ts'
import type { GroupId } from '../../src/core/id/group.ts'
import type { HostId } from '../../src/core/id/host.ts'
import type { SessionId } from '../../src/core/id/session.ts'
import { SessionTable } from '../../src/core/session/sessiontable.ts'
import type { parseSettings } from '../../src/core/settings/settings.ts'
import { CallerConnection } from '../../src/shell/caller/connection.ts'
import type { CallerContext } from '../../src/shell/caller/context.ts'
import { Groups } from '../../src/shell/caller/groups.ts'
import { SessionReadRouter } from '../../src/shell/caller/sessionreadrouter.ts'
import { SlotOwner } from '../../src/shell/endpoint/owner.ts'
import { ConfigFollower } from '../../src/shell/config/follower.ts'
import { ConfigStore } from '../../src/shell/config/store.ts'
import { create } from '@bufbuild/protobuf'
import { ConfirmedSchema } from '../../src/gen/peer_pb.ts'
import type { Log } from '../../src/shell/log/log.ts'
import type { SlotPort } from '../../src/shell/peer/slotport.ts'
import type { ObjectStore } from '../../src/shell/platform/objectstore.ts'
import { addressesOf } from './addresses.ts'
import { Link } from './link.ts'
import { ownSlots } from './ownslots.ts'
import { holdersOf } from './placing.ts'
import type { Platform } from './platform.ts'
import type { Process } from './process.ts'

type Settings = ReturnType<ReturnType<typeof parseSettings>['_unsafeUnwrap']>
type Host = ReturnType<Platform['list']>[number]
type ConfigFrame = Parameters<ConfigFollower['receive']>[1]

interface Options {
  readonly process: Process
  readonly settings: Settings
  readonly platform: Platform
  /** The process that runs on a host now. */
  readonly peer: (host: HostId) => Proxy | undefined
  readonly onPromotion: (action: Extract<FailoverAction, { kind: 'record' }>) => void
  readonly onLog: (host: HostId, event: string, fields: object) => void
  readonly onVersion: (host: HostId, version: number) => void
  readonly onRequest: (kind: string, place: string) => void
}

interface Held {
  readonly value: SlotOwner
  readonly stop: AbortController
}

const POLL_MS = 500

export class Proxy {
  private hosts: readonly Host[] = []
  private readonly groups = Groups.create()
  private readonly owners = new Map<EndpointId, Held>()
  private readonly links = new Map<HostId, Link>()
  private readonly slots: SlotPort = ownSlots(id => this.owners.get(id)?.value, () => [...this.owners.values()].map(held => held.value))
  private readonly context: CallerContext
  private readonly reads: SessionReadRouter
  private readonly configs: ConfigFollower

  private constructor (private readonly options: Options) {
    const { process, settings } = options
    const needed: Partial<CallerContext> = {
      host: this.id,
      config: () => this.configs.config,
      groups: this.groups,
      sessions: SessionTable.create(settings.requests.sessions),
      port: endpoint => this.port(endpoint),
      dataCentre: process.node.dataCentre as DataCentreId,
      chance: () => process.chance.next(),
      deadlineMs: settings.requests.deadline,
      now: () => process.now(),
      metrics: { requests: { inc: (labels: { kind: string, place: string }) => options.onRequest(labels.kind, labels.place) } } as unknown as CallerContext['metrics'],
      audit: { begin: () => ({ addAttempt: () => undefined, end: done => done }), flush: async () => undefined }
    }
    this.context = needed as CallerContext
    this.reads = SessionReadRouter.create(this.context)
    this.configs = this.followConfig()
  }

  static start (options: Options): Proxy {
    const it = new Proxy(options)
    it.pollHosts()
    return it
  }

  get process (): Process {
    return this.options.process
  }

  get id (): HostId {
    return this.process.node.id as HostId
  }

  get isReady (): boolean {
    return this.configs.config !== undefined
  }

  /** A caller's connection of a named session, as the frontend makes it after the login. */
  accept (session: SessionId, id: GroupId): CallerConnection {
    const config = this.configs.config!
    const group = config.groups.find(one => one.id === id)!
    return CallerConnection.create(this.context, this.reads, { pool: config.pools[0]!, group, caller: 'caller', session, isNamed: true })
  }

  holds (endpoint: EndpointId): boolean {
    return this.owners.has(endpoint)
  }

  private followConfig (): ConfigFollower {
    const { process, platform, onVersion } = this.options
    const table = platform.table(async work => await this.askPlatform(work))
    return ConfigFollower.start({
      self: this.id,
      store: ConfigStore.of(table, undefined as unknown as ObjectStore),
      log: this.log,
      now: () => process.now(),
      chance: () => process.chance.next(),
      send: (host, body) => this.tellConfig(host, body),
      onApply: config => {
        onVersion(this.id, config.version)
        this.useConfig(config)
      }
    }, process.signal)
  }

  private tellConfig (host: HostId, body: ConfigFrame): void {
    this.links.get(host)?.tell(() => {
      const peer = this.options.peer(host)
      peer?.configs.receive(this.id, body, reply => peer.tellConfig(this.id, reply))
    })
  }

  private useConfig (config: Config): void {
    for (const { id, endpoints } of config.groups) {
      if (this.groups.get(id) === undefined) this.groups.set(Group.of(id, endpoints.map(one => one.id)))
    }
    this.place(config)
  }

  /** Takes in a sample from a peer, whose clock means nothing here. */
  private learnFromPeer (sample: Sample): void {
    this.learn(sample.with({ at: this.process.now() }))
  }

  private learn (sample: Sample): void {
    this.groups.updateSample(sample)
    for (const owner of this.owners.values()) owner.value.applySample(sample)
  }

  private port (endpoint: EndpointId): SlotPort | undefined {
    if (this.owners.has(endpoint)) return this.slots
    return this.holders(endpoint).map(host => this.links.get(host)).find(link => link?.isUp === true)
  }

  private holders (endpoint: EndpointId): readonly HostId[] {
    const live = this.hosts.filter(host => host.state === 'live')
    const group = this.configs.config?.groups.find(one => one.endpoints.some(other => other.id === endpoint))
    return group === undefined ? [] : holdersOf(endpoint, live, group.slotsPerEndpoint)
  }

  private async pollHosts (): Promise<void> {
    const { process, platform } = this.options
    for (;;) {
      await this.askPlatform(async () => platform.list()).then(hosts => this.useHosts(hosts), () => undefined)
      await process.sleep(POLL_MS)
    }
  }

  private useHosts (hosts: readonly Host[]): void {
    this.hosts = hosts
    this.configs.setHosts(hosts)
    for (const { id } of hosts) this.link(id)
    if (this.configs.config !== undefined) this.place(this.configs.config)
  }

  private async askPlatform<T> (work: () => Promise<T>): Promise<T> {
    const { process, platform, settings } = this.options
    const connection = process.network.connect(process.node, platform.node)
    return await process.ask(connection, settings.platform.timeout, work).finally(() => connection.break())
  }

  private place (config: Config): void {
    const due = new Set<EndpointId>()
    for (const group of config.groups) {
      for (const { id, leaving } of group.endpoints) {
        const rank = this.holders(id).indexOf(this.id)
        if (rank < 0) continue
        due.add(id)
        if (!this.owners.has(id)) this.take(group, id, rank)
        this.owners.get(id)?.value.setLeaving(leaving)
      }
    }
    for (const [id, owner] of this.owners) {
      if (due.has(id)) continue
      owner.stop.abort()
      this.owners.delete(id)
    }
  }

  private link (id: HostId): void {
    const { peer, process } = this.options
    const node = id === this.id ? undefined : peer(id)?.process.node
    if (node === undefined || this.links.has(id)) return
    this.links.set(id, Link.open({
      process,
      peer: node,
      slots: () => peer(id)?.slots,
      onLinked: () => this.configs.onLinked(id)
    }))
  }

  private take (group: Config['groups'][number], endpoint: EndpointId, rank: number): void {
    const { process, settings, onPromotion } = this.options
    const { misses, rankDelay, round, jitter, probe, probeTimeout } = settings.failover
    const stop = new AbortController()
    const value = SlotOwner.start({
      endpoint,
      group: this.groups.get(group.id)!,
      addresses: addressesOf(group, process.name, settings.endpoints.connectTimeout),
      connections: group.connectionsPerSlot,
      rank,
      pace: { misses, rankDelayMs: rankDelay, roundMs: round, jitterMs: jitter },
      probeMs: probe,
      probeTimeoutMs: probeTimeout,
      proposer: `${this.id}/${process.incarnation}`,
      now: () => process.now(),
      chance: () => process.chance.next(),
      log: this.log,
      confirmAt: async (at, term, position, ms) => await this.port(at)?.confirm(at, term, position, ms) ?? create(ConfirmedSchema, { ok: false }),
      onSample: sample => {
        this.learn(sample)
        this.broadcast(peer => peer.learnFromPeer(sample))
      },
      onWrote: (term, position, session) => {
        this.groups.addWriteNotice(endpoint, term, position, session)
        this.broadcast(peer => peer.groups.addWriteNotice(endpoint, term, position, session))
      },
      record: onPromotion
    }, AbortSignal.any([stop.signal, process.signal]))
    this.owners.set(endpoint, { value, stop })
  }

  private get log (): Log {
    const { onLog } = this.options
    return { write: (event: string, fields: object = {}) => onLog(this.id, event, fields) } as unknown as Log
  }

  private broadcast (tell: (peer: Proxy) => void): void {
    for (const [host, link] of this.links) {
      link.tell(() => {
        const peer = this.options.peer(host)
        if (peer !== undefined) tell(peer)
      })
    }
  }
}
