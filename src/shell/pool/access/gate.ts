/** What lets an operation's statements out to an endpoint, and counts it. */

import type { Instant } from '../../../core/id/instant.ts'
import type { KeyDigest } from '../../../core/pool/access/keydigest.ts'
import type { Team } from '../../../core/pool/access/team.ts'
import type { Route } from '../../../core/pool/route.ts'
import { clock } from '../clock.ts'
import type { PoolContext } from '../context.ts'
import type { Refusal } from '../statements/refusal.ts'

/** The time to come back to a host that has lost touch: about what it takes to hear from another that hasn't. Milliseconds. */
const OUT_OF_TOUCH_RETRY_MS = 1000

/**
 * Guard against statements that run after their caller's key was taken away: a session, a statement in a queue, a connection on loan and a
 * transaction all outlast the check at the sign-in. So the key is looked at with each statement, where it goes out.
 */
export class Gate {
  /** Until when the operation's token counts; undefined without one. */
  private token: Instant | undefined
  private isSpent = false

  private constructor (private readonly ctx: PoolContext, private readonly route: Route, private readonly key: KeyDigest | undefined, readonly team: Team | undefined) {}

  /** For one operation of the team that holds the key now; or why there is none. */
  static open (ctx: PoolContext, route: Route, key: KeyDigest | undefined): Gate | Refusal {
    const permission = ctx.permission(route, key)
    if (permission.kind === 'granted') return new Gate(ctx, route, key, permission.team)
    return { fault: permission.fault, retryAfterMs: permission.fault === 'outOfTouch' ? OUT_OF_TOUCH_RETRY_MS : 0 }
  }

  /** Resolves once the operation has its token, where its team needs one, or with the reason why not. `patienceMs`: it may wait so long for one; `mostMs`: so long where nobody says when there is one. */
  async fetchToken (patienceMs: number, mostMs: number): Promise<Refusal | undefined> {
    const { ctx: { allowances }, team } = this
    if (team?.rate === undefined || allowances === undefined || this.isSpent || this.token !== undefined) return undefined
    const taken = await allowances.take(team, patienceMs, mostMs)
    if (taken.isErr()) return { fault: 'overAllowance', retryAfterMs: taken.error }
    this.token = taken.value
    return undefined
  }

  /** Why a statement of the operation may not go out now; undefined when it may. */
  check (): 'unauthorised' | 'outOfTouch' | 'busy' | 'overAllowance' | undefined {
    const permission = this.ctx.permission(this.route, this.key)
    if (permission.kind === 'refused') return permission.fault
    // The key is another team's by now, and the connection the old one's.
    if (permission.team?.id !== this.team?.id) return 'busy'
    return this.spendToken() ? undefined : 'overAllowance'
  }

  /** The operation is tried again. `mayHaveRun`: so the first try counts as well. */
  prepareRetry (mayHaveRun: boolean): void {
    if (this.isSpent && mayHaveRun) this.token = undefined
    this.isSpent = false
  }

  /** Nothing more of the operation goes out, unless its first statement did. */
  close (): void {
    if (this.team === undefined || this.token === undefined || this.isSpent) return
    this.ctx.allowances?.returnToken(this.team, this.token)
    this.token = undefined
  }

  /** An operation takes one token, with its first statement. One that waited until its token lapsed takes another. */
  private spendToken (): boolean {
    const { ctx: { allowances }, team } = this
    if (team?.rate === undefined || allowances === undefined || this.isSpent) return true
    if (this.token === undefined || this.token < clock.age()) this.token = allowances.takeAvailable(team)
    this.isSpent = this.token !== undefined
    return this.isSpent
  }
}
