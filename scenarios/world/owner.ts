/** The owner of a slot round the core's `Monitor`; mirrors src/shell/endpoint/owner.ts. */

import type { FailoverAction } from '../../src/core/failover/action.ts'
import type { FailoverEvent } from '../../src/core/failover/event.ts'
import { Monitor } from '../../src/core/failover/monitor.ts'
import type { Group } from '../../src/core/group/group.ts'
import type { Sample } from '../../src/core/group/sample.ts'
import type { EndpointId } from '../../src/core/id/endpoint.ts'
import { Token } from '../../src/core/token.ts'
import type { TransactionId } from '../../src/core/id/transaction.ts'
import { Execution } from '../../src/shell/endpoint/execution.ts'
import type { Slot as RealSlot } from '../../src/shell/endpoint/slot.ts'
import { paceOf } from '../../src/shell/endpoint/paceof.ts'
import { Transactions } from '../../src/shell/endpoint/transactions.ts'
import type { SlotPort } from '../../src/shell/peer/port.ts'
import { Control } from './control.ts'
import type { Endpoint } from './endpoint.ts'
import { LinkError } from './linkerror.ts'
import type { Process } from './process.ts'
import { Slot } from './slot.ts'

interface Options {
  readonly process: Process
  readonly endpoint: Endpoint
  readonly endpoints: ReadonlyMap<EndpointId, Endpoint>
  readonly group: Group
  readonly connections: number
  readonly rank: number
  readonly pace: Parameters<typeof paceOf>[0]['pace']
  readonly probeMs: number
  readonly probeTimeoutMs: number
  /** Asks the owner of another endpoint's slot. */
  readonly confirmAt: (endpoint: EndpointId, token: Token, ms: number) => Promise<boolean>
  readonly onSample: (sample: Sample) => void
  /** Hears of every write before it's acknowledged, and of its session's fingerprint. */
  readonly onWrote: (token: Token, session: number) => void
  readonly onAction: (action: FailoverAction) => void
}

const CONTROL_CONNECTIONS = 2
const TICK_MS = 20
const REPLY_MS = 200

export class Owner {
  private readonly slot: Slot
  private readonly transactions: Transactions
  private readonly probe: Control
  private readonly waits: Control
  private monitor: Monitor
  private isOver = false

  private constructor (private readonly options: Options) {
    const { process, endpoint } = options
    this.slot = Slot.create(process, endpoint, options.connections - CONTROL_CONNECTIONS)
    this.transactions = Transactions.create(this.slot as unknown as RealSlot)
    this.probe = Control.create(process, endpoint)
    this.waits = Control.create(process, endpoint)
    this.monitor = Monitor.create(options.group, endpoint.id, options.rank, paceOf(options), process.now())
  }

  static start (options: Options): Owner {
    const it = new Owner(options)
    it.probeLoop()
    it.tickLoop()
    return it
  }

  get endpoint (): EndpointId {
    return this.options.endpoint.id
  }

  stop (): void {
    this.isOver = true
    this.slot.close()
    this.probe.close()
    this.waits.close()
  }

  /** The product's own `Execution`, on fake connections. */
  run (req: Parameters<SlotPort['run']>[0], sink: Parameters<SlotPort['run']>[1]): ReturnType<SlotPort['run']> {
    return Execution.start({
      slot: this.slot as unknown as RealSlot,
      transactions: this.transactions,
      cleaner: { used: () => undefined },
      confirm: async (term, position, ms) => await this.confirmElsewhere(Token.of(term, position), ms),
      proveCurrent: async ms => await this.proveCurrent(ms),
      wrote: (term, position, session) => this.options.onWrote(Token.of(term, position), session)
    }, req, sink)
  }

  release (transaction: TransactionId): void {
    this.transactions.release(transaction)
  }

  async confirm (token: Token, ms: number): Promise<Sample | undefined> {
    return await this.waits
      .ask(ms + REPLY_MS, async endpoint => await endpoint.received(token.term, token.position, ms))
      .catch(() => undefined)
  }

  learn (sample: Sample): void {
    if (sample === this.monitor.group.sample(sample.endpoint)) return
    this.hear({ kind: 'learnt', sample })
  }

  private async confirmElsewhere (token: Token, ms: number): Promise<boolean> {
    const others = this.options.group.samples.filter(sample => sample.endpoint !== this.endpoint)
    return await Promise.any(others.map(async ({ endpoint }) => {
      if (!await this.options.confirmAt(endpoint, token, ms)) throw new Error('not confirmed')
      return true
    })).catch(() => false)
  }

  private async proveCurrent (ms: number): Promise<boolean> {
    const { term, role } = this.monitor.group.sample(this.endpoint)!
    if (role !== 'primary') return false
    const token = Token.of(term, 0)
    const [own, other] = await Promise.all([this.confirm(token, ms), this.confirmElsewhere(token, ms)])
    return own !== undefined && other
  }

  private async probeLoop (): Promise<void> {
    const { process, probeMs } = this.options
    while (!this.isOver) {
      const began = process.now()
      await this.probeOnce()
      await process.sleep(Math.max(1, probeMs - (process.now() - began)))
    }
  }

  private async probeOnce (): Promise<void> {
    const { probeTimeoutMs, onSample } = this.options
    const ask = async (): Promise<Sample> => await this.probe.ask(probeTimeoutMs, endpoint => endpoint.status())
    const sample = await ask().catch(ask).catch(() => undefined)
    if (this.isOver) return
    if (sample === undefined) {
      this.hear({ kind: 'missed', endpoint: this.endpoint })
      if (this.monitor.isReached(this.endpoint, this.options.process.now())) return
      return onSample(this.monitor.group.sample(this.endpoint)!.with({ reachable: false }))
    }
    const fresh = sample.with({ queued: this.slot.queued })
    this.hear({ kind: 'sampled', sample: fresh })
    onSample(fresh)
  }

  private async tickLoop (): Promise<void> {
    while (!this.isOver) {
      await this.options.process.sleep(TICK_MS)
      this.hear({ kind: 'tick' })
    }
  }

  private hear (event: FailoverEvent): void {
    if (this.isOver) return
    const { process } = this.options
    const step = this.monitor.step(event, process.now(), process.chance.next())
    this.monitor = step.monitor
    for (const action of step.actions) this.act(action)
  }

  private act (action: FailoverAction): void {
    this.options.onAction(action)
    if (action.kind === 'record') this.options.onSample(this.monitor.group.sample(action.primary)!)
    else this.order(action)
  }

  private async order (action: Exclude<FailoverAction, { kind: 'record' }>): Promise<void> {
    const { endpoints, process } = this.options
    const control = Control.create(process, endpoints.get(action.endpoint)!)
    try {
      const event = await this.ask(control, action)
      if (event.kind === 'sampled' && action.kind === 'follow') this.options.onSample(event.sample)
      this.hear(event)
    } catch (err) {
      this.hear(failureOf(action, err))
    } finally {
      control.close()
    }
  }

  /** Mirrors src/shell/endpoint/verbs.ts, over fake connections. */
  private async ask (control: Control, action: Exclude<FailoverAction, { kind: 'record' }>): Promise<FailoverEvent> {
    const { endpoints, pace, probeTimeoutMs } = this.options
    switch (action.kind) {
      case 'probe': return { kind: 'sampled', sample: await control.ask(probeTimeoutMs, at => at.status()) }
      case 'seal': {
        const sample = await control.ask(pace.roundMs, at => at.seal(action.term, this.proposer))
        return { kind: 'sealed', term: action.term, sample }
      }
      case 'promote': {
        const sample = await control.ask(pace.roundMs, at => at.promote(action.term, this.proposer))
        return { kind: 'promoted', term: action.term, sample }
      }
      case 'follow': {
        const primary = endpoints.get(action.primary)!
        return { kind: 'sampled', sample: await control.ask(pace.roundMs, at => at.follow(primary, action.term)) }
      }
    }
  }

  /** Each slot is a proposer of its own, see SlotOwner. */
  private get proposer (): string {
    const { process } = this.options
    return `${process.node.id}/${process.incarnation}/${this.endpoint}`
  }
}

function failureOf (action: Exclude<FailoverAction, { kind: 'record' }>, err: unknown): FailoverEvent {
  const { endpoint } = action
  if (action.kind === 'probe') return { kind: 'missed', endpoint }
  return { kind: err instanceof LinkError ? 'failed' : 'refused', endpoint, term: action.term }
}
