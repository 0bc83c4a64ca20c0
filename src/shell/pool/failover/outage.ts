/** The time in which a group has no primary that this host reaches, as the statements that need one see it. */

import type { GroupId } from '../../../core/id/group.ts'
import { FailoverEstimate } from '../../../core/pool/failover/failoverestimate.ts'
import type { Log } from '../../log/log.ts'
import { clock } from '../clock.ts'
import { Waiters } from '../waiters.ts'

/** The only place where the group's expectation is replaced. */
export class Outage {
  private expectation = FailoverEstimate.none
  private readonly waiters = Waiters.create()
  private count = 0
  /** What the log was told of this outage. */
  private logged: 'nothing' | 'awaited' | 'unexpected' = 'nothing'

  private constructor (private readonly group: GroupId, private readonly log: Log) {}

  static create (group: GroupId, log: Log): Outage {
    return new Outage(group, log)
  }

  /** Statements that wait. */
  get waiting (): number {
    return this.count
  }

  /** The primary is out of reach, or not known. */
  begin (): void {
    this.expectation = this.expectation.lost(clock.now())
  }

  /** The same primary answers again. */
  end (): void {
    this.expectation = this.expectation.back(clock.now())
    this.wake()
  }

  /** Another endpoint leads. */
  recordReplaced (): void {
    this.expectation = this.expectation.replaced(clock.now())
    this.wake()
  }

  /** A host claimed the lease under the fence. */
  recordClaim (fence: number): void {
    this.expectation = this.expectation.claimed(fence, clock.now())
  }

  /** No promotion follows, as far as this host knows. */
  cancelExpectation (): void {
    this.expectation = this.expectation.aborted()
    this.waiters.wake()
  }

  /** Milliseconds until there is a primary; undefined when none is expected. */
  expectedMs (): number | undefined {
    this.begin()
    return this.expectation.remainingMs(clock.now())
  }

  /** A statement waits on, `ms` being what is expected; undefined: one that waited was refused since nothing is. At most two lines an outage, however many wait. */
  logWait (ms: number | undefined): void {
    const { group, count, log, logged: told } = this
    if (ms !== undefined && told === 'nothing') {
      this.logged = 'awaited'
      log.write('primaryAwaited', { group, expectedMs: Math.round(ms) })
    }
    if (ms === undefined && told === 'awaited') {
      this.logged = 'unexpected'
      log.write('primaryUnexpected', { group, waiting: count })
    }
  }

  /** One more waits, until the returned function is called. */
  addWaiting (): () => void {
    this.count++
    return () => { this.count-- }
  }

  /** Resolves as soon as something changed, or after the milliseconds, or when whoever waits is gone. */
  async wait (ms: number, gone: AbortSignal | undefined): Promise<void> {
    await this.waiters.wait(ms, gone)
  }

  private wake (): void {
    this.logged = 'nothing'
    this.waiters.wake()
  }
}
