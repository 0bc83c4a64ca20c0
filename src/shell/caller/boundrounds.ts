/** Determines, in batched rounds, a position of a group that no acknowledged write exceeds. */

import type { Confirmed } from '../../gen/peer_pb.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { GroupId } from '../../core/id/group.ts'
import type { Position } from '../../core/id/position.ts'
import type { Term } from '../../core/id/term.ts'
import { Token } from '../../core/token.ts'
import type { CallerContext } from './context.ts'

type Waiter = (bound: Token | undefined) => void

/** With a single round, a read that arrives during one would have to wait for two. */
const MAX_CONCURRENT_ROUNDS = 4
const ROUND_TIMEOUT_MS = 500

/**
 * A round asks all servers of the group to confirm the primary's term. An answer
 * of the primary and of one other proves that no newer term had begun, and the
 * primary's position is the bound. It covers every write acknowledged before the
 * round started, so a read joins only a round that starts after the read arrived.
 * Used for sessions whose writes may have gone through another process
 * (docs/DESIGN.md, "Sessions and reads").
 */
export class BoundRounds {
  private waiting: Waiter[] = []
  private running = 0
  private isScheduled = false

  private constructor (private readonly context: CallerContext, private readonly group: GroupId) {}

  static create (context: CallerContext, group: GroupId): BoundRounds {
    return new BoundRounds(context, group)
  }

  /** Resolves with a bound from a round that starts after this call, or undefined when none is proved within `ms`. */
  async ask (ms: number): Promise<Token | undefined> {
    return await new Promise(resolve => {
      const timer = setTimeout(resolve, ms, undefined)
      this.waiting.push(bound => {
        clearTimeout(timer)
        resolve(bound)
      })
      this.schedule()
    })
  }

  /** All requests of one event loop iteration share a round. */
  private schedule (): void {
    if (this.isScheduled || this.waiting.length === 0 || this.running >= MAX_CONCURRENT_ROUNDS) return
    this.isScheduled = true
    setImmediate(() => this.start())
  }

  private async start (): Promise<void> {
    this.isScheduled = false
    const waiters = this.waiting
    this.waiting = []
    this.running++
    const bound = await this.round().catch(() => undefined)
    this.running--
    for (const resolve of waiters) resolve(bound)
    this.schedule()
  }

  private async round (): Promise<Token | undefined> {
    const { groups, now } = this.context
    const group = groups.get(this.group)
    const primary = group?.primary
    if (group === undefined || primary === undefined) return undefined
    const at = now()
    const { term } = primary
    const others = group.samples.filter(sample => sample.endpoint !== primary.endpoint)
    const [primaryAnswer] = await Promise.all([
      this.confirm(primary.endpoint, term),
      Promise.any(others.map(async other => await this.confirm(other.endpoint, term)))
    ])
    const bound = Token.of(term, primaryAnswer.received)
    groups.addWatermark(this.group, bound, at)
    return bound
  }

  private async confirm (endpoint: EndpointId, term: Term): Promise<Confirmed> {
    const answer = await this.context.port(endpoint)?.confirm(endpoint, term, 0 as Position, ROUND_TIMEOUT_MS)
    if (answer?.ok !== true) throw new Error('not confirmed')
    this.updateSample(endpoint, answer)
    return answer
  }

  /** Takes the endpoint's positions from the answer instead of waiting for its next sample. */
  private updateSample (endpoint: EndpointId, answer: Confirmed): void {
    const { groups } = this.context
    const known = groups.get(this.group)?.sample(endpoint)
    // Positions of different terms may refer to different log entries.
    if (known === undefined || known.history.term !== answer.term || answer.applied <= known.applied) return
    groups.updateSample(known.with({ applied: answer.applied as Position, received: answer.received as Position }))
  }
}
