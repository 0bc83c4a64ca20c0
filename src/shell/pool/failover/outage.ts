/** State of an outage of a group's primary, for the statements that wait for one. */

import type { GroupId } from '../../../core/id/group.ts'
import { FailoverEstimate } from '../../../core/pool/failover/failoverestimate.ts'
import type { Log } from '../../log/log.ts'
import { clock } from '../clock.ts'
import { Waiters } from '../waiters.ts'

/** Holds the group's `Expectation` and replaces it as events come in. */
export class Outage {
  private expectation = FailoverEstimate.none
  private readonly waiters = Waiters.create()
  private count = 0
  /** What was logged about this outage. */
  private logged: 'nothing' | 'awaited' | 'unexpected' = 'nothing'

  private constructor (private readonly group: GroupId, private readonly log: Log) {}

  static create (group: GroupId, log: Log): Outage {
    return new Outage(group, log)
  }

  /** Number of waiting statements. */
  get waiting (): number {
    return this.count
  }

  /** Records that the primary is unreachable or unknown. */
  begin (): void {
    this.expectation = this.expectation.lost(clock.now())
  }

  /** Records that the same primary answers again. */
  end (): void {
    this.expectation = this.expectation.back(clock.now())
    this.wake()
  }

  /** Records that another endpoint is the primary. */
  recordReplaced (): void {
    this.expectation = this.expectation.replaced(clock.now())
    this.wake()
  }

  /** Records that a host claimed the lease with the fence. */
  recordClaim (fence: number): void {
    this.expectation = this.expectation.claimed(fence, clock.now())
  }

  /** Records that no promotion is expected to follow. */
  cancelExpectation (): void {
    this.expectation = this.expectation.aborted()
    this.waiters.wake()
  }

  /** Expected milliseconds until there is a primary; undefined if none is expected. */
  expectedMs (): number | undefined {
    this.begin()
    return this.expectation.remainingMs(clock.now())
  }

  /** Logs that a statement waits for a primary expected in `ms`, or with undefined that one was refused because none is expected. At most two lines per outage. */
  logWait (ms: number | undefined): void {
    const { group, count, log, logged } = this
    if (ms !== undefined && logged === 'nothing') {
      this.logged = 'awaited'
      log.write('primaryAwaited', { group, expectedMs: Math.round(ms) })
    }
    if (ms === undefined && logged === 'awaited') {
      this.logged = 'unexpected'
      log.write('primaryUnexpected', { group, waiting: count })
    }
  }

  /** Counts a waiting statement until the returned function is called. */
  addWaiting (): () => void {
    this.count++
    return () => { this.count-- }
  }

  /** Resolves on the next change, after `ms`, or when `gone` is aborted. */
  async wait (ms: number, gone: AbortSignal | undefined): Promise<void> {
    await this.waiters.wait(ms, gone)
  }

  private wake (): void {
    this.logged = 'nothing'
    this.waiters.wake()
  }
}
