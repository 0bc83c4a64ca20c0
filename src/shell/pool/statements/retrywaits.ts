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
  private timesWaited = 0
  private pauses = 0
  private stopCounting: (() => void) | undefined

  private constructor (private readonly group: PoolGroup, private readonly operation: Operation, private readonly metrics: PoolMetrics) {}

  static of (group: PoolGroup, operation: Operation, metrics: PoolMetrics): RetryWaits {
    return new RetryWaits(group, operation, metrics)
  }

  /** Whether the caller no longer waits for the answer, so that nothing more is sent. */
  get isDropped (): boolean {
    return this.group.retryPolicy.isAbandoned(this.operation.gone.aborted)
  }

  /** Signal that cancels the wait for a connection; undefined where waits aren't cancelled. */
  get gone (): AbortSignal | undefined {
    return this.group.retryPolicy.isAbandoned(true) ? this.operation.gone : undefined
  }

  /** Must be called when the operation has ended. */
  end (): void {
    this.stopCounting?.()
    this.stopCounting = undefined
  }

  /** Waits until a primary is reachable, or is known to come too late. */
  async forLeader (): Promise<WaitResult> {
    const { group, operation: { deadline, route }, timesWaited } = this
    const { outage, serviceMs, connections, missingMs } = group
    const expectedMs = outage.expectedMs()
    const waiting = outage.waiting - (this.stopCounting === undefined ? 0 : 1)
    const decision = group.retryPolicy.forLeader({
      remainingMs: left(deadline), serviceMs, statementTimeoutMs: route.statementTimeoutMs, leaderlessMs: missingMs, expectedMs, rank: route.rank, timesWaited, waiting, connections
    })
    this.timesWaited++
    if (decision.kind === 'wait') this.stopCounting ??= outage.addWaiting()
    if (timesWaited > 0 && (decision.kind === 'wait' || expectedMs === undefined)) outage.logWait(expectedMs)
    return await this.perform('forLeader', decision, async ms => await outage.wait(ms, this.gone))
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
      const result = await this.pause('forBudget')
      if (typeof result !== 'string' || this.isDropped || mayRetry()) return result
    }
  }

  private async pause (what: Pause): Promise<WaitResult> {
    const { group, gone, operation: { deadline }, pauses } = this
    const need: Parameters<RetryPolicy['forRoom']>[0] = { remainingMs: left(deadline), serviceMs: group.serviceMs, pauses, chance: group.chance() }
    this.pauses++
    const waiters = what === 'forReach' ? group.outage : Waiters.create()
    return await this.perform(what, group.retryPolicy[what](need), async ms => await waiters.wait(ms, gone))
  }

  private async perform (what: string, decision: RetryDecision, wait: (ms: number) => Promise<void>): Promise<WaitResult> {
    if (decision.kind === 'refuse') return { cause: decision.cause, retryAfterMs: decision.retryAfterMs }
    if (decision.kind === 'go') return 'go'
    this.metrics.waits.inc({ what })
    await wait(decision.ms)
    return decision.areRefusalsReset ? 'anew' : 'again'
  }
}
