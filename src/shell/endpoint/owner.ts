/** The owner of one slot: runs requests on it, probes its endpoint, and watches over the group's primary. */

import { create } from '@bufbuild/protobuf'
import { ConfirmedSchema, type Confirmed, type Run } from '../../gen/peer_pb.ts'
import type { FailoverAction } from '../../core/failover/action.ts'
import type { FailoverEvent } from '../../core/failover/event.ts'
import { Monitor } from '../../core/failover/monitor.ts'
import type { Pace } from '../../core/failover/pace.ts'
import { Group } from '../../core/group/group.ts'
import type { Sample } from '../../core/group/sample.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { Instant } from '../../core/id/instant.ts'
import type { Position } from '../../core/id/position.ts'
import type { Term } from '../../core/id/term.ts'
import type { TransactionId } from '../../core/id/transaction.ts'
import type { Log } from '../log/log.ts'
import type { SlotPort } from '../peer/port.ts'
import { EndpointControl } from './control.ts'
import { Execution } from './execution.ts'
import { LedgerCleaner } from './ledgercleaner.ts'
import { ConfirmRounds } from './rounds.ts'
import { Slot } from './slot.ts'
import { Transactions } from './transactions.ts'
import { useConnection } from './useconnection.ts'

type Address = Parameters<typeof Slot.create>[0]

interface Options {
  readonly endpoint: EndpointId
  readonly group: Group
  /** Data and control addresses of every endpoint of the group. */
  readonly addresses: ReadonlyMap<EndpointId, { readonly data: Address, readonly control: Address }>
  readonly connections: number
  /** 0 for the slot whose owner judges the endpoint first. */
  readonly rank: number
  readonly pace: Pace
  readonly probeMs: number
  readonly probeTimeoutMs: number
  /** This process's name as a proposer of terms; unique for the process's life. */
  readonly proposer: string
  readonly now: () => Instant
  readonly chance: () => number
  readonly log: Log
  /** Asks the owner of another endpoint's slot. */
  readonly confirmAt: (endpoint: EndpointId, term: Term, position: Position, ms: number) => Promise<Confirmed>
  readonly onSample: (sample: Sample) => void
  /** Hears of every write on the slot before it's acknowledged to anybody. */
  readonly onWrote: (term: Term, position: Position, session: number) => void
  readonly record: (action: Extract<FailoverAction, { kind: 'record' }>) => void
}

/** Connections of a slot that serve the proxy's own questions: probes and confirmations. */
const CONTROL_CONNECTIONS = 2

export class SlotOwner {
  private readonly slot: Slot
  private readonly transactions: Transactions
  private readonly cleaner: LedgerCleaner
  private readonly probe: EndpointControl
  private readonly rounds: ConfirmRounds
  private readonly waits: EndpointControl
  private monitor: Monitor
  private isReachable = true

  private constructor (private readonly options: Options) {
    const { addresses, endpoint, proposer, now } = options
    const address = addresses.get(endpoint)!
    this.slot = Slot.create(address.data, options.connections - CONTROL_CONNECTIONS)
    this.transactions = Transactions.create(this.slot)
    this.cleaner = LedgerCleaner.create({ clock: () => Date.now(), use: async work => await useConnection(this.slot, work) })
    this.probe = EndpointControl.create(endpoint, address.control, proposer, now)
    this.waits = EndpointControl.create(endpoint, address.control, proposer, now)
    this.rounds = ConfirmRounds.create(this.waits)
    this.monitor = Monitor.create(options.group, options.rank, options.pace)
  }

  /** Owns the slot until the signal is aborted. */
  static start (options: Options, signal: AbortSignal): SlotOwner {
    const it = new SlotOwner(options)
    it.probeLoop(signal)
    const ticker = setInterval(() => it.hear({ kind: 'tick' }), TICK_MS)
    signal.addEventListener('abort', () => {
      clearInterval(ticker)
      it.slot.close()
      it.probe.close()
      it.waits.close()
    }, { once: true })
    return it
  }

  get endpoint (): EndpointId {
    return this.options.endpoint
  }

  get openTransactions (): number {
    return this.slot.transactions
  }

  run (req: Run, sink: Parameters<SlotPort['run']>[1]): ReturnType<SlotPort['run']> {
    return Execution.start({
      slot: this.slot,
      transactions: this.transactions,
      cleaner: this.cleaner,
      confirm: async (term, position, ms) => await this.confirmElsewhere(term, position, ms),
      proveCurrent: async ms => await this.proveCurrent(ms),
      wrote: this.options.onWrote
    }, req, sink)
  }

  async confirm (term: Term, position: Position, ms: number): Promise<Confirmed> {
    try {
      const sample = await this.rounds.confirm(term, position, ms)
      return create(ConfirmedSchema, { ok: true, term: sample.term, received: sample.received, applied: sample.applied })
    } catch {
      return create(ConfirmedSchema, { ok: false })
    }
  }

  release (transaction: TransactionId): void {
    this.transactions.release(transaction)
  }

  /** Takes in what another process knows of this group's endpoints. */
  learn (sample: Sample): void {
    if (sample.endpoint === this.endpoint) return
    const known = this.monitor.group.sample(sample.endpoint)
    if (known !== undefined && known.term > sample.term) return
    this.hear({ kind: 'sampled', sample })
  }

  private async confirmElsewhere (term: Term, position: Position, ms: number): Promise<boolean> {
    const others = this.options.group.samples.filter(sample => sample.endpoint !== this.endpoint)
    return await firstTrue(others.map(async ({ endpoint }) =>
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
      this.hear({ kind: 'missed', endpoint: this.endpoint })
      const known = this.monitor.group.sample(this.endpoint)!
      this.options.onSample(known.with({ reachable: false }))
    }
  }

  private reachable (isReachable: boolean): void {
    if (isReachable === this.isReachable) return
    this.isReachable = isReachable
    this.options.log.write(isReachable ? 'endpointReachable' : 'endpointUnreachable', { endpoint: this.endpoint })
  }

  private publish (sample: Sample): void {
    this.hear({ kind: 'sampled', sample })
    this.options.onSample(sample)
  }

  private hear (event: FailoverEvent): void {
    const { now, chance, log } = this.options
    const step = this.monitor.step(event, now(), chance())
    this.monitor = step.monitor
    if (step.actions[0]?.kind === 'seal') log.write('promotionBegun', { group: this.options.group.id, term: step.actions[0].term })
    for (const action of step.actions) this.act(action)
  }

  private act (action: FailoverAction): void {
    if (action.kind === 'record') {
      this.options.log.write('promoted', { group: action.group, term: action.term, primary: action.primary, cause: action.cause })
      const sample = this.monitor.group.sample(action.primary)!
      this.options.onSample(sample)
      return this.options.record(action)
    }
    this.order(action)
  }

  /** Sends a verb over a connection of its own, which lives no longer than the verb. */
  private async order (action: Exclude<FailoverAction, { kind: 'record' }>): Promise<void> {
    const { addresses, proposer, now, pace, log } = this.options
    const control = EndpointControl.create(action.endpoint, addresses.get(action.endpoint)!.control, proposer, now)
    const { endpoint, term } = action
    try {
      switch (action.kind) {
        case 'seal': {
          const sample = await control.seal(term, pace.roundMs)
          return this.hear({ kind: 'sealed', term, sample })
        }
        case 'promote': {
          const sample = await control.promote(term, pace.roundMs)
          this.hear({ kind: 'sampled', sample })
          return this.hear({ kind: 'promoted', endpoint, term })
        }
        case 'follow':
          await control.follow(action.primary, term, pace.roundMs)
      }
    } catch (err) {
      log.write('verbFailed', { verb: action.kind, endpoint, term, err: (err as Error).message })
      this.hear({ kind: EndpointControl.isRefusal(err) ? 'refused' : 'failed', endpoint, term })
    } finally {
      control.close()
    }
  }
}

const TICK_MS = 20

/** True as soon as one is; false when all are settled and none is. */
async function firstTrue (some: ReadonlyArray<Promise<boolean>>): Promise<boolean> {
  return await Promise.any(some.map(async one => {
    if (!await one) throw new Error('no')
    return true
  })).catch(() => false)
}
