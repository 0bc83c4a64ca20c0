/** What waits at a slot, and how long it takes to drain. */

import type { Instant } from '../id/instant.ts'
import { classes } from './classes.ts'
import { FairQueue } from './fairqueue.ts'
import type { Limits } from './limits.ts'
import type { AdmissionRequest } from './request.ts'
import { ServiceTime } from './servicetime.ts'
import type { ConnectionShares } from './connectionshares.ts'

/** Statements of one class, or its transactions. A transaction that may not start yet must not hold up statements behind it. */
interface ClassQueue {
  readonly requests: FairQueue
  readonly service: ServiceTime
  /** Requests that were told to come back and haven't had their turn yet, as far as it's known. */
  expectedRetries: number
  expectedRetriesAt: Instant
}

/** One start in so many goes to a lower class that waits, so that no class starves. */
const MAX_PASSED_OVER = 16
/** So many times the mean gap between two starts of requests counts as a stall. */
const STALL_FACTOR = 8

/** The queues of all classes. Changes in place, like the queues that it holds. */
export class Backlog {
  private readonly queues = classes.map(() => [createClassQueue(), createClassQueue()] as const)
  /** Starts of others since the class had one while it waited. */
  private readonly passedOver = classes.map(() => 0)

  private constructor (public limits: Limits, private readonly shares: ConnectionShares) {}

  static create (limits: Limits, shares: ConnectionShares): Backlog {
    return new Backlog(limits, shares)
  }

  get size (): number {
    return this.queues.reduce((sum, _, rank) => sum + this.sizeOf(rank), 0)
  }

  sizeOf (rank: number): number {
    const [statements, transactions] = this.queues[rank]!
    return statements.requests.size + transactions.requests.size
  }

  queueFor ({ rank, isTransaction }: Pick<AdmissionRequest, 'rank' | 'isTransaction'>): ClassQueue {
    return this.queues[rank]![isTransaction ? 1 : 0]
  }

  /** Takes out the request whose turn it is among those that may start now. */
  shift (now: Instant): AdmissionRequest | undefined {
    const next = this.nextStarved(now) ?? this.nextByPriority(now)
    if (next === undefined) return undefined
    const { rank } = next
    this.passedOver[rank] = 0
    for (let lower = rank + 1; lower < classes.length; lower++) {
      this.passedOver[lower] = this.sizeOf(lower) > 0 ? this.passedOver[lower]! + 1 : 0
    }
    return this.queueFor(next).requests.shift(now)
  }

  /** The time until a request that has so many of its line ahead gets a connection. `stalledMs`: for how long none has started although some wait. */
  estimateWaitMs (request: Pick<AdmissionRequest, 'rank' | 'isTransaction'>, ahead: number, stalledMs: number, now: Instant): number {
    const { rank, isTransaction } = request
    const own = this.queueFor(request).service.at(now)
    const least = this.limits.connections / MAX_PASSED_OVER
    const left = this.shares.availableTo(rank, isTransaction, Math.min(1, least))
    let work = ahead * own
    for (let higher = 0; higher < rank; higher++) {
      for (const { requests: queue, service } of this.queues[higher]!) work += queue.size * service.at(now)
    }
    return Math.max(work / left, (ahead + 1) * stalledMs / STALL_FACTOR)
  }

  /**
   * When a refused request should come back: once what waits now has drained,
   * and those told to come back before it have had their turn. Told the same
   * time they would all be back at once, and all but a few refused again.
   */
  retryAfterMs (request: Pick<AdmissionRequest, 'rank' | 'isTransaction'>, now: Instant, chance: number): number {
    const line = this.queueFor(request)
    const own = line.service.at(now)
    const left = this.shares.availableTo(request.rank, request.isTransaction, Math.min(1, this.limits.connections / MAX_PASSED_OVER))
    const perMs = this.limits.retryShare * left / own
    line.expectedRetries = Math.max(0, line.expectedRetries - (now - line.expectedRetriesAt) * perMs) + 1
    line.expectedRetriesAt = now
    const ms = this.estimateWaitMs(request, line.requests.size, 0, now) + line.expectedRetries / perMs
    return Math.ceil(Math.min(this.limits.maxRetryAfterMs, Math.max(own, ms)) * (1 + this.limits.jitter * chance))
  }

  /** The request to give up so that another fits in: the lowest class first, of the caller with the most waiting. */
  evictionCandidate (request: AdmissionRequest): AdmissionRequest {
    for (let rank = classes.length - 1; rank > request.rank; rank--) {
      const other = this.evictableInClass(rank)
      if (other !== undefined) return other
    }
    const other = this.evictableInClass(request.rank)
    if (other === undefined) return request
    return this.queueFor(other).requests.lengthOf(other.caller) > this.queueFor(request).requests.lengthOf(request.caller) + 1 ? other : request
  }

  * inServingOrder (now: Instant): Generator<readonly [AdmissionRequest, number]> {
    for (const pair of this.queues) {
      for (const { requests: queue } of pair) {
        if (queue.size > 0) yield * queue.inServingOrder(now)
      }
    }
  }

  removeIdleCallers (): void {
    for (const pair of this.queues) {
      for (const { requests: queue } of pair) queue.removeIdleCallers()
    }
  }

  private evictableInClass (rank: number): AdmissionRequest | undefined {
    const [statements, transactions] = this.queues[rank]!
    return (statements.requests.size >= transactions.requests.size ? statements : transactions).requests.newestOfLongest()
  }

  private nextByPriority (now: Instant): AdmissionRequest | undefined {
    for (let rank = 0; rank < classes.length; rank++) {
      const next = this.nextStartable(rank, now)
      if (next !== undefined) return next
    }
    return undefined
  }

  /**
   * The statement of a class that was passed over long enough. It goes before
   * the reserves of others, so such a class has one connection this way and no
   * more: long statements would else gather on all of them, turn by turn.
   */
  private nextStarved (now: Instant): AdmissionRequest | undefined {
    for (let rank = classes.length - 1; rank > 0; rank--) {
      if (this.passedOver[rank]! < MAX_PASSED_OVER) continue
      const next = this.nextStartable(rank, now) ?? (this.shares.usedBy(rank) === 0 ? this.queues[rank]![0].requests.peek(now) : undefined)
      if (next !== undefined) return next
    }
    return undefined
  }

  /** Of the class's next statement and next transaction, the one that came first. */
  private nextStartable (rank: number, now: Instant): AdmissionRequest | undefined {
    const [statements, transactions] = this.queues[rank]!
    const statement = statements.requests.size > 0 && this.shares.canStart(rank, false) ? statements.requests.peek(now) : undefined
    const transaction = transactions.requests.size > 0 && this.shares.canStart(rank, true) ? transactions.requests.peek(now) : undefined
    if (statement === undefined || transaction === undefined) return statement ?? transaction
    return statement.id < transaction.id ? statement : transaction
  }
}

function createClassQueue (): ClassQueue {
  return { requests: FairQueue.create(), service: ServiceTime.create(), expectedRetries: 0, expectedRetriesAt: 0 as Instant }
}
