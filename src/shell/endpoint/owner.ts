/** The owner of one slot: runs requests on it, probes its endpoint, and watches over the group's primary. */

import { create } from '@bufbuild/protobuf'
import { ConfirmedSchema, type Confirmed, type Run } from '../../gen/peer_pb.ts'
import type { FailoverAction } from '../../core/failover/action.ts'
import type { FailoverEvent } from '../../core/failover/event.ts'
import { Monitor } from '../../core/failover/monitor.ts'
import type { Sample } from '../../core/group/sample.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { Position } from '../../core/id/position.ts'
import type { Term } from '../../core/id/term.ts'
import type { TransactionId } from '../../core/id/transaction.ts'
import type { SlotPort } from '../peer/slotport.ts'
import { EndpointControl } from './control.ts'
import { Execution } from './execution.ts'
import { LedgerCleaner } from './ledgercleaner.ts'
import type { SlotOwnerOptions } from './slotowneroptions.ts'
import { failoverTimings } from './failovertimings.ts'
import { ConfirmationBatcher } from './confirmationbatcher.ts'
import { Slot } from './slot.ts'
import { Transactions } from './transactions.ts'
import { RunningRequests } from './runningrequests.ts'
import { withConnection } from './withconnection.ts'
import { VerbRunner } from './verbrunner.ts'

/**
 * Connections of a slot that no statement gets: one for probes, one for
 * confirmations, and one that stays free. Against a failover that fails under
 * load: verbs come over connections of their own, from the owners of other
 * endpoints' slots too, and a server whose slots are used up refuses them.
 */
const RESERVED_CONNECTIONS = 3

export class SlotOwner {
  private readonly slot: Slot
  private readonly transactions: Transactions
  private readonly cleaner: LedgerCleaner
  private readonly probe: EndpointControl
  private readonly confirmations: ConfirmationBatcher
  private readonly confirmControl: EndpointControl
  private readonly verbRunner: VerbRunner
  private monitor: Monitor
  private isReachable = true
  private isLeaving = false
  /** The last endpoint that was known to be primary. */
  private leader: EndpointId | undefined
  private readonly runningRequests = RunningRequests.create()

  private constructor (private readonly options: SlotOwnerOptions) {
    const { addresses, endpoint, now } = options
    const { proposer } = this
    const address = addresses.get(endpoint)!
    this.slot = Slot.create(address.data, options.connections - RESERVED_CONNECTIONS, options.chance)
    this.transactions = Transactions.create(this.slot)
    this.cleaner = LedgerCleaner.create({ clock: () => Date.now(), withConnection: async work => await withConnection(this.slot, work) })
    this.probe = EndpointControl.create(endpoint, address.control, proposer, now)
    this.confirmControl = EndpointControl.create(endpoint, address.control, proposer, now)
    this.confirmations = ConfirmationBatcher.create(this.confirmControl)
    this.verbRunner = VerbRunner.create({ ...options, proposer, probeTimeoutMs: options.probeTimeoutMs, verbTimeoutMs: options.pace.roundMs })
    this.monitor = Monitor.create(options.group, endpoint, options.rank, failoverTimings(options), now())
  }

  /** Owns the slot until the signal is aborted. */
  static start (options: SlotOwnerOptions, signal: AbortSignal): SlotOwner {
    const it = new SlotOwner(options)
    it.probeLoop(signal)
    const ticker = setInterval(() => it.handle({ kind: 'tick' }), TICK_INTERVAL_MS)
    signal.addEventListener('abort', () => {
      clearInterval(ticker)
      it.slot.close()
      it.probe.close()
      it.confirmControl.close()
    }, { once: true })
    return it
  }

  get endpoint (): EndpointId {
    return this.options.endpoint
  }

  get openTransactions (): number {
    return this.slot.transactions
  }

  /**
   * Against two monitors of one process that hold slots of one group: under
   * one name both would get the votes of the same term, and each could promote
   * another server in it. So each slot is a proposer of its own.
   */
  private get proposer (): string {
    return `${this.options.proposer}/${this.endpoint}`
  }

  /** Says whether the endpoint is to be left. A primary is replaced by a planned hand-over first; then no new work goes to it. */
  setLeaving (isLeaving: boolean): void {
    if (isLeaving === this.isLeaving) return
    this.isLeaving = isLeaving
    this.handle({ kind: isLeaving ? 'leaving' : 'staying', endpoint: this.endpoint })
  }

  run (req: Run, sink: Parameters<SlotPort['run']>[1]): ReturnType<SlotPort['run']> {
    return this.runningRequests.start(req, sink, taken => Execution.start({
      slot: this.slot,
      transactions: this.transactions,
      cleaner: this.cleaner,
      confirm: async (term, position, ms) => await this.confirmElsewhere(term, position, ms),
      proveCurrent: async ms => await this.proveCurrent(ms),
      wrote: this.options.onWrote
    }, req, taken))
  }

  async confirm (term: Term, position: Position, ms: number): Promise<Confirmed> {
    try {
      const sample = await this.confirmations.confirm(term, position, ms)
      return create(ConfirmedSchema, { ok: true, term: sample.term, received: sample.received, applied: sample.applied })
    } catch {
      return create(ConfirmedSchema, { ok: false })
    }
  }

  release (transaction: TransactionId): void {
    this.transactions.release(transaction)
  }

  /** Takes in what another process knows of this group's endpoints. */
  applySample (sample: Sample): void {
    // A process hears of all groups. A monitor that took another group's sample would judge by its term and order verbs
    // to its endpoints, for which it has no address.
    if (!this.options.addresses.has(sample.endpoint)) return
    if (sample === this.monitor.group.sample(sample.endpoint)) return
    this.handle({ kind: 'learnt', sample })
  }

  private async confirmElsewhere (term: Term, position: Position, ms: number): Promise<boolean> {
    const others = this.options.group.samples.filter(sample => sample.endpoint !== this.endpoint)
    return await anyTrue(others.map(async ({ endpoint }) =>
      (await this.options.confirmAt(endpoint, term, position, ms)).ok))
  }

  /**
   * Against a primary that is cut off from its group and doesn't know: its
   * reads are stale while a newer primary takes writes. If neither it nor a
   * second server was sealed after the read arrived, no majority of three
   * was, so no newer term had begun.
   */
  private async proveCurrent (ms: number): Promise<boolean> {
    const { term, role } = this.monitor.group.sample(this.endpoint)!
    if (role !== 'primary') return false
    const [own, other] = await Promise.all([
      this.confirm(term, 0 as Position, ms),
      this.confirmElsewhere(term, 0 as Position, ms)
    ])
    return own.ok && other
  }

  private async probeLoop (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const began = this.options.now()
      await this.probeOnce()
      const left = this.options.probeMs - (this.options.now() - began)
      await new Promise(resolve => { setTimeout(resolve, Math.max(1, left)) })
    }
  }

  /**
   * Against a connection that went silent while the server is well: a probe
   * that fails has closed its connection, so the second one opens a new one,
   * and only when that fails as well is the endpoint judged.
   */
  private async probeOnce (): Promise<void> {
    const { probeTimeoutMs } = this.options
    try {
      const sample = await this.probe.status(probeTimeoutMs)
        .catch(async () => await this.probe.status(probeTimeoutMs))
      this.reachable(true)
      this.publish(sample.with({ queued: this.slot.queued }))
    } catch {
      this.reachable(false)
      this.handle({ kind: 'missed', endpoint: this.endpoint })
      this.publishMiss()
    }
  }

  private reachable (isReachable: boolean): void {
    if (isReachable === this.isReachable) return
    this.isReachable = isReachable
    this.options.log.write(isReachable ? 'endpointReachable' : 'endpointUnreachable', { endpoint: this.endpoint })
  }

  /** A replica that is leaving is shown as one that can't be reached, so that nothing new is sent to it. */
  private publish (sample: Sample): void {
    this.handle({ kind: 'sampled', sample })
    const isShunned = this.isLeaving && sample.role !== 'primary'
    this.options.onSample(isShunned ? sample.with({ reachable: false }) : sample)
  }

  /** One owner's miss isn't news while the other owner reaches the endpoint. */
  private publishMiss (): void {
    if (this.monitor.isReached(this.endpoint, this.options.now())) return
    this.options.onSample(this.monitor.group.sample(this.endpoint)!.with({ reachable: false }))
  }

  private handle (event: FailoverEvent): void {
    const { now, chance, log } = this.options
    const step = this.monitor.step(event, now(), chance())
    this.monitor = step.monitor
    this.updateLeader(step.monitor.group.leader?.endpoint)
    if (step.actions[0]?.kind === 'seal') log.write('promotionBegun', { group: this.options.group.id, term: step.actions[0].term })
    for (const action of step.actions) this.perform(action)
  }

  private updateLeader (leader: EndpointId | undefined): void {
    if (leader === undefined || leader === this.leader) return
    if (this.leader === this.endpoint) this.runningRequests.endAll()
    this.leader = leader
  }

  private perform (action: FailoverAction): void {
    if (action.kind === 'record') {
      this.options.log.write('promoted', { group: action.group, term: action.term, primary: action.primary, cause: action.cause })
      const sample = this.monitor.group.sample(action.primary)!
      this.options.onSample(sample)
      return this.options.record(action)
    }
    this.verbRunner.run(action).then(event => {
      if (event.kind === 'sampled' && action.kind === 'follow') this.options.onSample(event.sample)
      this.handle(event)
    })
  }
}

const TICK_INTERVAL_MS = 20

/** True as soon as one is; false when all are settled and none is. */
async function anyTrue (some: ReadonlyArray<Promise<boolean>>): Promise<boolean> {
  return await Promise.any(some.map(async one => {
    if (!await one) throw new Error('no')
    return true
  })).catch(() => false)
}
