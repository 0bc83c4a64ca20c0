/** Waits of one operation between its tries, as its group's retry policy decides. */

import type { Cause } from '../../../core/pool/statements/cause.ts'
import type { RetryPolicy } from '../../../core/pool/statements/retrypolicy.ts'
import type { RetryDecision } from '../../../core/pool/statements/retrydecision.ts'
import type { PoolGroup } from '../group.ts'
import type { PoolMetrics } from '../metrics.ts'
import { Waiters } from '../waiters.ts'
import { left } from './left.ts'
import type { Operation } from './operation.ts'

type WaitResult =
  /** Continue without a wait. */
  | 'go'
  /** Choose an endpoint again; with `anew`, also among those that were tried. */
  | 'again'
  | 'anew'
  /** Refuse the operation. */
  | { readonly cause: Cause, readonly retryAfterMs: number }

type Pause = 'forRoom' | 'forReach' | 'forBudget'

export class RetryWaits {
  private looks = 0
  private pauses = 0
  private leave: (() => void) | undefined

  private constructor (private readonly group: PoolGroup, private readonly tries: Operation, private readonly metrics: PoolMetrics) {}

  static of (group: PoolGroup, tries: Operation, metrics: PoolMetrics): RetryWaits {
    return new RetryWaits(group, tries, metrics)
  }

  /** Whether the caller no longer waits for the answer, so that nothing more is sent. */
  get isDropped (): boolean {
    return this.group.retryPolicy.isAbandoned(this.tries.gone.aborted)
  }

  /** Signal that cancels the wait for a connection; undefined where waits aren't cancelled. */
  get gone (): AbortSignal | undefined {
    return this.group.retryPolicy.isAbandoned(true) ? this.tries.gone : undefined
  }

  /** Must be called when the operation has ended. */
  end (): void {
    this.leave?.()
    this.leave = undefined
  }

  /** Waits until a primary is reachable, or is known to come too late. */
  async forLeader (): Promise<WaitResult> {
    const { group, tries: { deadline, route }, looks } = this
    const { outage, serviceMs, connections, missingMs } = group
    const expectedMs = outage.expectedMs()
    const waiting = outage.waiting - (this.leave === undefined ? 0 : 1)
    const step = group.retryPolicy.forLeader({
      remainingMs: left(deadline), serviceMs, statementTimeoutMs: route.statementTimeoutMs, leaderlessMs: missingMs, expectedMs, rank: route.rank, timesWaited: looks, waiting, connections
    })
    this.looks++
    if (step.kind === 'wait') this.leave ??= outage.addWaiting()
    if (looks > 0 && (step.kind === 'wait' || expectedMs === undefined)) outage.logWait(expectedMs)
    return await this.take('forLeader', step, async ms => await outage.wait(ms, this.gone))
  }

  /** Waits until an endpoint that was full may have room. */
  async forRoom (): Promise<WaitResult> {
    return await this.pause('forRoom')
  }

  /** Waits until the endpoint may have a connection, or is known to be unreachable. */
  async forReach (): Promise<WaitResult> {
    return await this.pause('forReach')
  }

  /** Waits until the host's retry budget allows another try. */
  async forBudget (mayRetry: () => boolean): Promise<WaitResult> {
    for (;;) {
      const way = await this.pause('forBudget')
      if (typeof way !== 'string' || this.isDropped || mayRetry()) return way
    }
  }

  private async pause (what: Pause): Promise<WaitResult> {
    const { group, gone, tries: { deadline }, pauses } = this
    const lack: Parameters<RetryPolicy['forRoom']>[0] = { remainingMs: left(deadline), serviceMs: group.serviceMs, pauses, chance: group.chance() }
    this.pauses++
    const waiters = what === 'forReach' ? group.outage : Waiters.create()
    return await this.take(what, group.retryPolicy[what](lack), async ms => await waiters.wait(ms, gone))
  }

  private async take (what: string, step: RetryDecision, wait: (ms: number) => Promise<void>): Promise<WaitResult> {
    if (step.kind === 'refuse') return { cause: step.cause, retryAfterMs: step.retryAfterMs }
    if (step.kind === 'go') return 'go'
    this.metrics.waits.inc({ what })
    await wait(step.ms)
    return step.areRefusalsReset ? 'anew' : 'again'
  }
}
