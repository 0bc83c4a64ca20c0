/** Checks an operation's statements for permission and allowance before they are sent to an endpoint. */

import type { Instant } from '../../../core/id/instant.ts'
import type { KeyDigest } from '../../../core/pool/access/keydigest.ts'
import type { Team } from '../../../core/pool/access/team.ts'
import type { Route } from '../../../core/pool/route.ts'
import { clock } from '../clock.ts'
import type { PoolContext } from '../context.ts'
import type { Refusal } from '../statements/refusal.ts'

/** Retry delay for a host that has lost touch: about the time until it hears from another host. */
const OUT_OF_TOUCH_RETRY_MS = 1000

/**
 * The key is checked with each statement as it's sent, since sessions, queued statements, borrowed connections and
 * transactions outlast the check at sign-in.
 */
export class Gate {
  /** When the operation's token expires; undefined without one. */
  private token: Instant | undefined
  private isSpent = false

  private constructor (private readonly ctx: PoolContext, private readonly route: Route, private readonly key: KeyDigest | undefined, readonly team: Team | undefined) {}

  /** A gate for one operation of the team that holds the key, or the reason for refusing it. */
  static open (ctx: PoolContext, route: Route, key: KeyDigest | undefined): Gate | Refusal {
    const permission = ctx.permission(route, key)
    if (permission.kind === 'granted') return new Gate(ctx, route, key, permission.team)
    return { fault: permission.fault, retryAfterMs: permission.fault === 'outOfTouch' ? OUT_OF_TOUCH_RETRY_MS : 0 }
  }

  /**
   * Fetches a token if the team needs one; resolves with a refusal if none could be had. `maxWaitMs`: the longest wait for a
   * token; `maxSilentMs`: the longest wait while issuers don't answer.
   */
  async fetchToken (maxWaitMs: number, maxSilentMs: number): Promise<Refusal | undefined> {
    const { ctx: { allowances }, team } = this
    if (team?.rate === undefined || allowances === undefined || this.isSpent || this.token !== undefined) return undefined
    const taken = await allowances.take(team, maxWaitMs, maxSilentMs)
    if (taken.isErr()) return { fault: 'overAllowance', retryAfterMs: taken.error }
    this.token = taken.value
    return undefined
  }

  /** Why a statement of the operation must not be sent now; undefined if it may be. */
  check (): 'unauthorised' | 'outOfTouch' | 'busy' | 'overAllowance' | undefined {
    const permission = this.ctx.permission(this.route, this.key)
    if (permission.kind === 'refused') return permission.fault
    // The key was given to another team, and the connection belongs to the former.
    if (permission.team?.id !== this.team?.id) return 'busy'
    return this.spendToken() ? undefined : 'overAllowance'
  }

  /** Prepares another try. `mayHaveRun`: the previous try may have run, so the next one needs a token of its own. */
  prepareRetry (mayHaveRun: boolean): void {
    if (this.isSpent && mayHaveRun) this.token = undefined
    this.isSpent = false
  }

  /** Returns the token if the operation didn't use it. */
  close (): void {
    if (this.team === undefined || this.token === undefined || this.isSpent) return
    this.ctx.allowances?.returnToken(this.team, this.token)
    this.token = undefined
  }

  /** Uses the operation's token with its first statement, or another one if that has expired. Returns false if there is none. */
  private spendToken (): boolean {
    const { ctx: { allowances }, team } = this
    if (team?.rate === undefined || allowances === undefined || this.isSpent) return true
    if (this.token === undefined || this.token < clock.age()) this.token = allowances.takeAvailable(team)
    this.isSpent = this.token !== undefined
    return this.isSpent
  }
}
