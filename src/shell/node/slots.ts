/** The slots that this process holds, and access to those of its peers: one port for each endpoint. */

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

/** How often hosts that don't answer any more are looked for; reported changes take effect at once. */
const TICK_MS = 200
/** How often links are opened and closed to match the required peers. */
const LINK_INTERVAL_MS = 1000

/** Holds the slots that the host list, the links and the configuration assign to this host. */
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
    const slots = new Slots(options, signal)
    const tickers = [setInterval(() => slots.place(), TICK_MS), setInterval(() => slots.updateLinks(), LINK_INTERVAL_MS)]
    signal.addEventListener('abort', () => {
      for (const ticker of tickers) clearInterval(ticker)
      slots.peers.close()
      for (const slot of slots.held.values()) slot.close()
    }, { once: true })
    return slots
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

  /** Keeps links to the owners of these groups' slots until the signal is aborted, for a caller that uses the groups. */
  useGroups (ids: readonly GroupId[], signal: AbortSignal): void {
    if (this.usedGroups.add(ids, signal)) this.updateLinks()
  }

  /** The port to the endpoint. Prefers this process's own slot, which saves a hop; one in handover is used only if no peer has a slot. */
  port (endpoint: EndpointId): SlotPort | undefined {
    const own = this.held.get(endpoint)
    if (own?.isOpen === true && !this.peers.members.isLeaving) return own
    const [peer] = this.peers.linksTo(endpoint)
    return peer ?? (own?.acceptsNew === true ? own : undefined)
  }

  /** This process's own slot of the endpoint. */
  own (endpoint: EndpointId): HeldSlot | undefined {
    return this.held.get(endpoint)
  }

  /** Rolls the transaction back on each slot of this process. */
  release (transaction: TransactionId): void {
    for (const slot of this.held.values()) slot.release(transaction)
  }

  /** Keeps links to these hosts in addition to those that the slots need. */
  keepLinks (hosts: readonly HostId[]): void {
    this.kept = hosts
    this.updateLinks()
  }

  /** Descriptions of the claims that wait for the table service. */
  get waiting (): readonly string[] {
    return this.claims.waiting.map(({ endpoint, tries }) => `the claim on a slot of ${endpoint}: ${tries} tries`)
  }

  /** The state of this process that peers get when they link and at each change. */
  heldFrame (): HeldFrame {
    return create(HeldSchema, { endpoints: [...this.held.keys()], leaving: this.peers.members.isLeaving })
  }

  /** Announces that this process leaves. From now on it hands slots over as soon as another host can take them. */
  leave (): void {
    this.peers.leave()
    this.broadcastHeld()
    this.place()
  }

  /** Hands over all slots. Resolves when requests in progress on them have ended and all slots are closed. */
  async left (): Promise<void> {
    for (const [endpoint, slot] of this.held) this.handOver(endpoint, slot)
    while (this.held.size > 0) await new Promise<void>(resolve => { this.wake = resolve })
    await this.claims.waitForReleases()
  }

  private applySample (sample: Sample): void {
    this.options.groups.updateSample(sample)
    for (const slot of this.held.values()) slot.applySample(sample)
  }

  /** Records which session made a write, as reported by this process's slots or by a peer. */
  private note ({ endpoint, term, position, session }: Wrote): void {
    this.options.groups.addWriteNotice(endpoint as EndpointId, term as Term, position as Position, session)
  }

  private place (): void {
    const { members } = this.peers
    const assignments = this.assignments.withHosts(members.candidates(this.options.now()), members.hosts)
    const hasChanged = assignments !== this.assignments
    this.assignments = assignments
    if (hasChanged) this.updateLinks()
    for (const endpoint of new Set([...assignments.endpoints, ...this.held.keys(), ...this.claims.pending])) this.placeSlot(endpoint)
  }

  private placeSlot (endpoint: EndpointId): void {
    const slot = this.held.get(endpoint)
    const state = slotStateOf(endpoint, this.assignments, this.peers.members, slot !== undefined, this.options.now())
    if (state === undefined) return
    const ownership = decideOwnership(state)
    if (ownership === 'take') this.claims.claim(endpoint, state.slots)
    else if (slot === undefined) this.claims.cancel(endpoint)
    if (ownership === 'handOver') this.handOver(endpoint, slot!)
    slot?.setEndpointLeaving(this.assignments.isLeaving(endpoint))
  }

  private updateLinks (): void {
    const now = this.options.now()
    const required = requiredPeers({
      assignments: this.assignments,
      held: [...this.held.keys()],
      groups: this.config?.groups.filter(group => this.usedGroups.has(group.id)) ?? [],
      holders: endpoint => this.peers.members.holders(endpoint, now)
    })
    for (const host of this.kept) required.add(host)
    this.peers.setRequiredHosts(required)
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
