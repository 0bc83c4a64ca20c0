/** The bounds of one group: positions that no acknowledged write lies above, asked for in rounds. */

import type { Confirmed } from '../../gen/peer_pb.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { GroupId } from '../../core/id/group.ts'
import type { Position } from '../../core/id/position.ts'
import type { Term } from '../../core/id/term.ts'
import { Token } from '../../core/token.ts'
import type { CallerContext } from './context.ts'

type Waiter = (bound: Token | undefined) => void

/** Rounds under way at once: one alone makes a read that just missed it wait for two. */
const MAX_CONCURRENT_ROUNDS = 4
/** How long a round may take; one that fails is followed by the next. */
const ROUND_TIMEOUT_MS = 500

/**
 * Asks the primary for its position under proof that no newer term has begun:
 * the primary and a second server of its term both answer after the question.
 * A bound stands for the writes acknowledged before it was asked for, so a
 * read joins only a round that begins after the read arrived. It fills what
 * this process doesn't know of a session on demand, as the upqueries of Noria
 * fill missing state (docs/DESIGN.md, "Sessions and reads").
 */
export class BoundRounds {
  private waiting: Waiter[] = []
  private running = 0
  private isScheduled = false

  private constructor (private readonly context: CallerContext, private readonly group: GroupId) {}

  static create (context: CallerContext, group: GroupId): BoundRounds {
    return new BoundRounds(context, group)
  }

  /** Undefined when no bound can be proved within `ms`. */
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

  /** What arrives in one turn of the loop shares a round. */
  private schedule (): void {
    if (this.isScheduled || this.waiting.length === 0 || this.running >= MAX_CONCURRENT_ROUNDS) return
    this.isScheduled = true
    setImmediate(() => this.start())
  }

  private async start (): Promise<void> {
    this.isScheduled = false
    const joined = this.waiting
    this.waiting = []
    this.running++
    const bound = await this.round().catch(() => undefined)
    this.running--
    for (const resolve of joined) resolve(bound)
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
    const [own] = await Promise.all([
      this.confirm(primary.endpoint, term),
      Promise.any(others.map(async other => await this.confirm(other.endpoint, term)))
    ])
    const bound = Token.of(term, own.received)
    groups.addWatermark(this.group, bound, at)
    return bound
  }

  private async confirm (endpoint: EndpointId, term: Term): Promise<Confirmed> {
    const answer = await this.context.port(endpoint)?.confirm(endpoint, term, 0 as Position, ROUND_TIMEOUT_MS)
    if (answer?.ok !== true) throw new Error('not confirmed')
    this.updateSample(endpoint, answer)
    return answer
  }

  /** The answer tells how far the endpoint's reads are, sooner than the next sample would. */
  private updateSample (endpoint: EndpointId, answer: Confirmed): void {
    const { groups } = this.context
    const known = groups.get(this.group)?.sample(endpoint)
    // In a term that the last sample doesn't know of, positions may stand for other entries.
    if (known === undefined || known.history.term !== answer.term || answer.applied <= known.applied) return
    groups.updateSample(known.with({ applied: answer.applied as Position, received: answer.received as Position }))
  }
}
