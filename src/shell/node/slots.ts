/** The slots of this process and the ways to those of others: one port for each endpoint. */

import { create } from '@bufbuild/protobuf'
import { HeldSchema, WroteSchema, type Frame, type Held as HeldFrame, type Wrote } from '../../gen/peer_pb.ts'
import type { Config } from '../../core/config/config.ts'
import { Group } from '../../core/group/group.ts'
import type { Sample } from '../../core/group/sample.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { GroupId } from '../../core/id/group.ts'
import type { HostId } from '../../core/id/host.ts'
import type { Instant } from '../../core/id/instant.ts'
import type { Position } from '../../core/id/position.ts'
import type { Term } from '../../core/id/term.ts'
import type { TransactionId } from '../../core/id/transaction.ts'
import type { Host } from '../../core/membership/host.ts'
import { Duties } from '../../core/membership/duties.ts'
import { decideTenure } from '../../core/membership/tenure.ts'
import { wantedHosts } from '../../core/membership/wanted.ts'
import type { parseSettings } from '../../core/settings/settings.ts'
import type { Groups } from '../caller/groups.ts'
import type { Log } from '../log/log.ts'
import type { Metrics } from '../metrics/metrics.ts'
import { sampleFrame } from '../peer/frames.ts'
import type { SlotPort } from '../peer/port.ts'
import type { TableService } from '../platform/tableservice.ts'
import { confirmWhereHeld } from './confirm.ts'
import type { HeldSlot } from './heldslot.ts'
import { Peers } from './peers.ts'
import { recordPromotion } from './record.ts'
import { takeSlot } from './take.ts'

type Settings = ReturnType<ReturnType<typeof parseSettings>['_unsafeUnwrap']>
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
  /** Sends a frame to every linked peer. */
  readonly broadcast: (body: Frame['body']) => void
  readonly onLinked: (host: HostId) => void
  readonly onConfig: (from: HostId, body: Frame['body']) => void
}

/** How often silence is looked for; a change that is heard is acted on at once. */
const TICK_MS = 200
/** How often the links are compared with what is used. */
const LINK_MS = 1000

/** Follows the host list, the links and the configuration: holds the slots that fall to this host. */
export class Slots {
  private readonly held = new Map<EndpointId, HeldSlot>()
  private readonly usedGroups = new Map<GroupId, number>()
  private readonly peers: Peers
  private duties: Duties
  private config: Config | undefined
  private kept: readonly HostId[] = []
  private wake: (() => void) | undefined

  private constructor (private readonly options: Options) {
    const { settings, incarnation, log, now } = options
    this.duties = Duties.of(settings.host.id as HostId)
    this.peers = Peers.create({
      settings,
      incarnation,
      log,
      now,
      onChange: () => this.place(),
      onSample: frame => this.learn(sampleFrame.decode(frame, now())),
      onWrote: frame => this.note(frame),
      onLinked: options.onLinked,
      onConfig: options.onConfig
    })
  }

  static create (options: Options, signal: AbortSignal): Slots {
    const it = new Slots(options)
    const tickers = [setInterval(() => it.place(), TICK_MS), setInterval(() => it.linkPeers(), LINK_MS)]
    signal.addEventListener('abort', () => {
      for (const ticker of tickers) clearInterval(ticker)
      it.peers.close()
      for (const slot of it.held.values()) slot.close()
    }, { once: true })
    return it
  }

  useHosts (hosts: readonly Host[]): void {
    this.peers.useHosts(hosts)
    this.place()
  }

  useConfig (config: Config): void {
    this.config = config
    for (const group of config.groups) {
      const known = this.options.groups.get(group.id)
      if (known === undefined) this.options.groups.set(Group.of(group.id, group.endpoints.map(one => one.id)))
    }
    this.duties = this.duties.withConfig(config)
    this.linkPeers()
    this.place()
  }

  /** Links to the owners of these groups' slots until the signal is aborted: a caller of this process uses them. */
  useGroups (ids: readonly GroupId[], signal: AbortSignal): void {
    const add = (change: number): void => {
      for (const id of ids) this.usedGroups.set(id, (this.usedGroups.get(id) ?? 0) + change)
    }
    const isNew = ids.some(id => (this.usedGroups.get(id) ?? 0) === 0)
    add(1)
    signal.addEventListener('abort', () => add(-1), { once: true })
    if (isNew) this.linkPeers()
  }

  /** Own before others, so that a request makes no hop; a slot that is being handed over only when there is no other. */
  port (endpoint: EndpointId): SlotPort | undefined {
    const own = this.held.get(endpoint)
    if (own?.isOpen === true && !this.peers.members.isLeaving) return own
    const [peer] = this.peers.ports(endpoint)
    return peer ?? (own?.takesNew === true ? own : undefined)
  }

  /** This process's own slot, whoever else holds one. */
  own (endpoint: EndpointId): HeldSlot | undefined {
    return this.held.get(endpoint)
  }

  /** Rolls back whatever the transaction has open on a slot of this process. */
  release (transaction: TransactionId): void {
    for (const slot of this.held.values()) slot.release(transaction)
  }

  /** Sends a frame to a host if it's linked. */
  tell (host: HostId, body: Frame['body']): void {
    this.peers.tell(host, body)
  }

  /** Keeps links to these hosts too, whatever the slots need. */
  keepLinks (hosts: readonly HostId[]): void {
    this.kept = hosts
    this.linkPeers()
  }

  /** What a peer is told of this process when it links, and at every change. */
  heldFrame (): HeldFrame {
    return create(HeldSchema, { endpoints: [...this.held.keys()], leaving: this.peers.members.isLeaving })
  }

  /** Announces that this process leaves. Slots that another host can take are handed over from now on. */
  leave (): void {
    this.peers.leave()
    this.tellHeld()
    this.place()
  }

  /** Resolves when what was in progress on any slot has ended and all of them are closed. */
  async left (): Promise<void> {
    for (const [endpoint, slot] of this.held) this.handOver(endpoint, slot)
    while (this.held.size > 0) await new Promise<void>(resolve => { this.wake = resolve })
  }

  private learn (sample: Sample): void {
    this.options.groups.learn(sample)
    for (const slot of this.held.values()) slot.learn(sample)
  }

  /** Takes in who made a write, from an owner here or elsewhere. */
  private note ({ endpoint, term, position, session }: Wrote): void {
    this.options.groups.note(endpoint as EndpointId, term as Term, position as Position, session)
  }

  private place (): void {
    const { members } = this.peers
    const duties = this.duties.withHosts(members.candidates(this.options.now()), members.hosts)
    const hasChanged = duties !== this.duties
    this.duties = duties
    if (hasChanged) this.linkPeers()
    for (const endpoint of new Set([...duties.endpoints, ...this.held.keys()])) this.placeOne(endpoint)
  }

  private placeOne (endpoint: EndpointId): void {
    const group = this.duties.group(endpoint)
    if (group === undefined) return
    const { members } = this.peers
    const now = this.options.now()
    const due = this.duties.due(endpoint)
    const rank = this.duties.rank(endpoint)
    const slot = this.held.get(endpoint)
    const tenure = decideTenure({
      slots: group.slotsPerEndpoint,
      isHeld: slot !== undefined,
      isDue: rank !== undefined,
      others: members.holders(endpoint, now).length,
      unknown: this.duties.possible(endpoint).filter(id => members.isUnknown(id, now)).length,
      hasSuccessor: due.length > 0 && due.every(id => members.isLinked(id))
    })
    if (tenure === 'take') this.take(group, endpoint, rank!)
    if (tenure === 'handOver') this.handOver(endpoint, slot!)
  }

  private linkPeers (): void {
    const now = this.options.now()
    const wanted = wantedHosts({
      duties: this.duties,
      held: [...this.held.keys()],
      groups: this.config?.groups.filter(group => (this.usedGroups.get(group.id) ?? 0) > 0) ?? [],
      holders: endpoint => this.peers.members.holders(endpoint, now)
    })
    for (const host of this.kept) wanted.add(host)
    this.peers.use(wanted)
  }

  private handOver (endpoint: EndpointId, slot: HeldSlot): void {
    if (!slot.isOpen) return
    slot.handOver().then(() => {
      this.held.delete(endpoint)
      this.options.log.write('slotLeft', { endpoint })
      this.tellHeld()
      this.wake?.()
    })
  }

  private tellHeld (): void {
    this.options.metrics.slots.set(this.held.size)
    this.options.broadcast({ case: 'held', value: this.heldFrame() })
  }

  private take (group: DatabaseGroup, endpoint: EndpointId, rank: number): void {
    const { settings, incarnation, groups, now, chance, log } = this.options
    const slot = takeSlot(group, endpoint, settings, {
      group: groups.get(group.id)!,
      rank,
      proposer: `${settings.host.id}/${incarnation}`,
      now,
      chance,
      log,
      confirmAt: async (at, term, position, ms) => await confirmWhereHeld({ endpoint: at, term, position, ms }, () => this.port(at)),
      onSample: sample => {
        this.learn(sample)
        this.options.broadcast({ case: 'sample', value: sampleFrame.encode(sample) })
      },
      onWrote: (term, position, session) => {
        const frame = create(WroteSchema, { endpoint, term, position, session })
        this.note(frame)
        this.options.broadcast({ case: 'wrote', value: frame })
      },
      record: action => recordPromotion(action, this.options)
    })
    this.held.set(endpoint, slot)
    log.write('slotTaken', { endpoint, rank })
    this.tellHeld()
  }
}
