/** The slots of this process and the ways to those of others: one port for each endpoint. */

import { create } from '@bufbuild/protobuf'
import { HeldSchema, WroteSchema, type Held as HeldFrame, type Wrote } from '../../gen/peer_pb.ts'
import type { Config } from '../../core/config/config.ts'
import type { Sample } from '../../core/group/sample.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { GroupId } from '../../core/id/group.ts'
import type { HostId } from '../../core/id/host.ts'
import type { Position } from '../../core/id/position.ts'
import type { Term } from '../../core/id/term.ts'
import type { TransactionId } from '../../core/id/transaction.ts'
import type { Host } from '../../core/membership/host.ts'
import { SlotAssignments } from '../../core/membership/slotassignments.ts'
import { slotStateOf } from '../../core/membership/slotstate.ts'
import { decideOwnership } from '../../core/membership/ownership.ts'
import { requiredPeers } from '../../core/membership/requiredpeers.ts'
import { sampleFrame } from '../peer/sampleframe.ts'
import type { SlotPort } from '../peer/slotport.ts'
import { addGroups } from './addgroups.ts'
import { SlotClaims } from './slotclaims.ts'
import { confirmAtOwner } from './confirmatowner.ts'
import type { HeldSlot } from './heldslot.ts'
import { Peers } from './peers.ts'
import { recordPromotion } from './recordpromotion.ts'
import type { SlotsOptions } from './slotsoptions.ts'
import { takeSlot } from './takeslot.ts'
import { UsedGroups } from './usedgroups.ts'

/** How often silence is looked for; a change that is heard is acted on at once. */
const TICK_MS = 200
/** How often the links are compared with what is used. */
const LINK_INTERVAL_MS = 1000

/** Follows the host list, the links and the configuration: holds the slots that fall to this host. */
export class Slots {
  private readonly held = new Map<EndpointId, HeldSlot>()
  private readonly usedGroups = UsedGroups.create()
  readonly peers: Peers
  private readonly claims: SlotClaims
  private assignments: SlotAssignments
  private config: Config | undefined
  private kept: readonly HostId[] = []
  private wake: (() => void) | undefined

  private constructor (private readonly options: SlotsOptions, signal: AbortSignal) {
    const { settings, incarnation, log, now, table, chance } = options
    this.assignments = SlotAssignments.of(settings.host.id as HostId)
    this.peers = Peers.create({
      settings,
      keys: options.keys,
      incarnation,
      log,
      now,
      onChange: () => this.place(),
      onSample: frame => this.applySample(sampleFrame.decode(frame, now())),
      onWrote: frame => this.note(frame),
      onLinked: options.onLinked,
      onConfig: options.onConfig
    })
    this.claims = SlotClaims.create({
      host: settings.host.id as HostId,
      incarnation,
      table,
      now,
      chance,
      claimStatus: claim => this.peers.members.claimStatus(claim.host as HostId, claim.incarnation, now()),
      onTake: endpoint => this.take(endpoint)
    }, signal)
  }

  static create (options: SlotsOptions, signal: AbortSignal): Slots {
    const it = new Slots(options, signal)
    const tickers = [setInterval(() => it.place(), TICK_MS), setInterval(() => it.updateLinks(), LINK_INTERVAL_MS)]
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
    addGroups(config, this.options.groups)
    this.assignments = this.assignments.withConfig(config)
    this.updateLinks()
    this.place()
  }

  /** Links to the owners of these groups' slots until the signal is aborted: a caller of this process uses them. */
  useGroups (ids: readonly GroupId[], signal: AbortSignal): void {
    if (this.usedGroups.add(ids, signal)) this.updateLinks()
  }

  /** Own before others, so that a request makes no hop; a slot that is being handed over only when there is no other. */
  port (endpoint: EndpointId): SlotPort | undefined {
    const own = this.held.get(endpoint)
    if (own?.isOpen === true && !this.peers.members.isLeaving) return own
    const [peer] = this.peers.linksTo(endpoint)
    return peer ?? (own?.acceptsNew === true ? own : undefined)
  }

  /** This process's own slot, whoever else holds one. */
  own (endpoint: EndpointId): HeldSlot | undefined {
    return this.held.get(endpoint)
  }

  /** Rolls back whatever the transaction has open on a slot of this process. */
  release (transaction: TransactionId): void {
    for (const slot of this.held.values()) slot.release(transaction)
  }

  /** Keeps links to these hosts too, whatever the slots need. */
  keepLinks (hosts: readonly HostId[]): void {
    this.kept = hosts
    this.updateLinks()
  }

  /** What waits for the store to answer. */
  get waiting (): readonly string[] {
    return this.claims.waiting.map(({ endpoint, tries }) => `the claim on a slot of ${endpoint}: ${tries} tries`)
  }

  /** What a peer is told of this process when it links, and at every change. */
  heldFrame (): HeldFrame {
    return create(HeldSchema, { endpoints: [...this.held.keys()], leaving: this.peers.members.isLeaving })
  }

  /** Announces that this process leaves. Slots that another host can take are handed over from now on. */
  leave (): void {
    this.peers.leave()
    this.broadcastHeld()
    this.place()
  }

  /** Resolves when what was in progress on any slot has ended and all of them are closed. */
  async left (): Promise<void> {
    for (const [endpoint, slot] of this.held) this.handOver(endpoint, slot)
    while (this.held.size > 0) await new Promise<void>(resolve => { this.wake = resolve })
    await this.claims.waitForReleases()
  }

  private applySample (sample: Sample): void {
    this.options.groups.updateSample(sample)
    for (const slot of this.held.values()) slot.applySample(sample)
  }

  /** Takes in who made a write, from an owner here or elsewhere. */
  private note ({ endpoint, term, position, session }: Wrote): void {
    this.options.groups.addWriteNotice(endpoint as EndpointId, term as Term, position as Position, session)
  }

  private place (): void {
    const { members } = this.peers
    const duties = this.assignments.withHosts(members.candidates(this.options.now()), members.hosts)
    const hasChanged = duties !== this.assignments
    this.assignments = duties
    if (hasChanged) this.updateLinks()
    for (const endpoint of new Set([...duties.endpoints, ...this.held.keys(), ...this.claims.pending])) this.placeSlot(endpoint)
  }

  private placeSlot (endpoint: EndpointId): void {
    const slot = this.held.get(endpoint)
    const standing = slotStateOf(endpoint, this.assignments, this.peers.members, slot !== undefined, this.options.now())
    if (standing === undefined) return
    const tenure = decideOwnership(standing)
    if (tenure === 'take') this.claims.claim(endpoint, standing.slots)
    else if (slot === undefined) this.claims.cancel(endpoint)
    if (tenure === 'handOver') this.handOver(endpoint, slot!)
    slot?.setEndpointLeaving(this.assignments.isLeaving(endpoint))
  }

  private updateLinks (): void {
    const now = this.options.now()
    const wanted = requiredPeers({
      assignments: this.assignments,
      held: [...this.held.keys()],
      groups: this.config?.groups.filter(group => this.usedGroups.has(group.id)) ?? [],
      holders: endpoint => this.peers.members.holders(endpoint, now)
    })
    for (const host of this.kept) wanted.add(host)
    this.peers.setRequiredHosts(wanted)
  }

  private handOver (endpoint: EndpointId, slot: HeldSlot): void {
    if (!slot.isOpen) return
    slot.handOver().then(() => {
      this.held.delete(endpoint)
      this.claims.release(endpoint)
      this.options.log.write('slotLeft', { endpoint })
      this.broadcastHeld()
      this.wake?.()
    })
  }

  private broadcastHeld (): void {
    this.options.metrics.slots.set(this.held.size)
    this.options.broadcast({ case: 'held', value: this.heldFrame() })
  }

  private take (endpoint: EndpointId): void {
    const group = this.assignments.group(endpoint)
    if (group === undefined) return
    const rank = this.assignments.rank(endpoint) ?? 0
    const { settings, incarnation, groups, now, chance, log } = this.options
    const slot = takeSlot(group, endpoint, settings, {
      group: groups.get(group.id)!,
      rank,
      proposer: `${settings.host.id}/${incarnation}`,
      now,
      chance,
      log,
      confirmAt: async (at, term, position, ms) => await confirmAtOwner({ endpoint: at, term, position, ms }, () => this.port(at)),
      onSample: sample => {
        this.applySample(sample)
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
    this.broadcastHeld()
  }
}
