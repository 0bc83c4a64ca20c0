/** A caller's open transaction, and the connection that it holds from its first statement on. */

import type { Route } from '../../../core/pool/route.ts'
import type { Attempt } from '../connections/attempt.ts'

type State = 'open' | 'aborted' | 'failed'

/** `aborted`: rolled back by this process, which its caller is still to be told. */
export class Transaction {
  private held: Attempt | undefined
  private wasWritten = false
  private now: State = 'open'

  private constructor (readonly id: string, readonly route: Route, readonly isReadOnly: boolean) {}

  /** `route` stays the same until it ends, whatever the configuration becomes. */
  static create (id: string, route: Route, isReadOnly: boolean): Transaction {
    return new Transaction(id, route, isReadOnly)
  }

  get state (): State {
    return this.now
  }

  get attempt (): Attempt | undefined {
    return this.held
  }

  /** Whether a write was sent in it. */
  get hasWritten (): boolean {
    return this.wasWritten
  }

  /** Whether its endpoint refuses its statements once it doesn't lead any more. */
  get requiresLeader (): boolean {
    return !this.isReadOnly || this.route.freshness.kind !== 'age'
  }

  recordRun (attempt: Attempt, what: 'read' | 'write' | 'commit'): void {
    this.held = attempt
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

  /** Gives the connection back, rolled back if need be. */
  release (): void {
    this.held?.release()
    this.held = undefined
  }
}
