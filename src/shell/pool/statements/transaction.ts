/** A caller's open transaction, with the connection that it holds from its first statement on. */

import type { Route } from '../../../core/pool/route.ts'
import type { Attempt } from '../connections/attempt.ts'

type State = 'open' | 'aborted' | 'failed'

/** `aborted`: rolled back by this process; the caller learns of it with its next statement. */
export class Transaction {
  private heldAttempt: Attempt | undefined
  private wasWritten = false
  private now: State = 'open'

  private constructor (readonly id: string, readonly route: Route, readonly isReadOnly: boolean) {}

  /** `route` stays the same until the transaction ends, even if the configuration changes. */
  static create (id: string, route: Route, isReadOnly: boolean): Transaction {
    return new Transaction(id, route, isReadOnly)
  }

  get state (): State {
    return this.now
  }

  get attempt (): Attempt | undefined {
    return this.heldAttempt
  }

  /** Whether a write was sent in it. */
  get hasWritten (): boolean {
    return this.wasWritten
  }

  /** Whether it runs at the primary only, so that an endpoint that is no longer the primary refuses its statements. */
  get requiresLeader (): boolean {
    return !this.isReadOnly || this.route.freshness.kind !== 'age'
  }

  recordRun (attempt: Attempt, what: 'read' | 'write' | 'commit'): void {
    this.heldAttempt = attempt
    if (what === 'write') this.wasWritten = true
  }

  fail (): void {
    this.now = 'failed'
    this.release()
  }

  abort (): void {
    this.now = 'aborted'
    this.release()
  }

  /** Returns the connection, after a rollback if needed. */
  release (): void {
    this.heldAttempt?.release()
    this.heldAttempt = undefined
  }
}
