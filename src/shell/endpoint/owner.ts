/** The owner of one slot: runs requests on it, probes its endpoint and monitors the group's primary. */

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
 * Connections of a slot that statements can't use: one for probes, one for
 * confirmations and a spare one, so that a failover also gets a connection
 * under load. Each failover verb opens its own connection, and the owners of
 * other endpoints' slots send verbs too.
 */
const RESERVED_CONNECTIONS = 3

/** Executes requests for the slot, publishes samples of its endpoint and takes part in failovers of the group. */
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
  /** The endpoint that was last known to be the primary. */
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
   * Each slot proposes under a name of its own. Two monitors of one process
   * with slots of the same group could otherwise both win the same term and
   * promote different servers in it.
   */
  private get proposer (): string {
    return `${this.options.proposer}/${this.endpoint}`
  }

  /** Sets whether the endpoint is being removed. A primary is first replaced by a planned handover; after that it gets no new work. */
  setLeaving (isLeaving: boolean): void {
    if (isLeaving === this.isLeaving) return
    this.isLeaving = isLeaving
    this.handle({ kind: isLeaving ? 'leaving' : 'staying', endpoint: this.endpoint })
  }

  run (req: Run, sink: Parameters<SlotPort['run']>[1]): ReturnType<SlotPort['run']> {
    return this.runningRequests.start(req, sink, trackedSink => Execution.start({
      slot: this.slot,
      transactions: this.transactions,
      cleaner: this.cleaner,
      confirm: async (term, position, ms) => await this.confirmElsewhere(term, position, ms),
      proveCurrent: async ms => await this.proveCurrent(ms),
      wrote: this.options.onWrote
    }, req, trackedSink))
  }

  /** Resolves with `ok` once the endpoint has received the position in the term, and without it on a refusal or after `ms`; never rejects. */
  async confirm (term: Term, position: Position, ms: number): Promise<Confirmed> {
    try {
      const sample = await this.confirmations.confirm(term, position, ms)
      return create(ConfirmedSchema, { ok: true, term: sample.term, received: sample.received, applied: sample.applied })
    } catch {
      return create(ConfirmedSchema, { ok: false })
    }
  }

  /** Rolls back an open transaction of this slot. */
  release (transaction: TransactionId): void {
    this.transactions.release(transaction)
  }

  /** Applies a sample that another process took of an endpoint of this group. */
  applySample (sample: Sample): void {
    // Samples of all groups arrive here. Another group's sample would mix up the terms, and verbs would be sent to
    // endpoints without a known address.
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
   * Proves that this endpoint is still the primary, so that a primary that is
   * cut off from its group serves no stale reads. If neither it nor a second
   * server was sealed after the read arrived, no majority of the three servers
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
      const startedAt = this.options.now()
      await this.probeOnce()
      const left = this.options.probeMs - (this.options.now() - startedAt)
      await new Promise(resolve => { setTimeout(resolve, Math.max(1, left)) })
    }
  }

  /**
   * Probes once and retries once on a new connection (the failed probe closed
   * the old one), since a silent connection doesn't show that the server is
   * down. A miss counts only when both fail.
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

  /** Publishes a replica that is being removed as unreachable, so that it gets no new work. */
  private publish (sample: Sample): void {
    this.handle({ kind: 'sampled', sample })
    const isHidden = this.isLeaving && sample.role !== 'primary'
    this.options.onSample(isHidden ? sample.with({ reachable: false }) : sample)
  }

  /** Publishes the endpoint as unreachable, unless the other owner still reaches it. */
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

/** Resolves with true as soon as one of the promises does, with false when all have settled without. */
async function anyTrue (promises: ReadonlyArray<Promise<boolean>>): Promise<boolean> {
  return await Promise.any(promises.map(async promise => {
    if (!await promise) throw new Error('no')
    return true
  })).catch(() => false)
}
