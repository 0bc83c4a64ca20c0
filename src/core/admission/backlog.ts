/** The waiting requests of a slot, and how long it takes to serve them. */

import type { Instant } from '../id/instant.ts'
import { classes } from './classes.ts'
import { FairQueue } from './fairqueue.ts'
import type { Limits } from './limits.ts'
import type { AdmissionRequest } from './request.ts'
import { ServiceTime } from './servicetime.ts'
import type { ConnectionShares } from './connectionshares.ts'

/**
 * The waiting statements of one class, or its waiting transactions. They are kept apart so that a transaction that may not start
 * yet doesn't hold up the statements behind it.
 */
interface ClassQueue {
  readonly requests: FairQueue
  readonly service: ServiceTime
  /** Estimated number of refused requests whose callers have yet to come back. */
  expectedRetries: number
  expectedRetriesAt: Instant
}

/** How often a waiting class may be passed over before it gets a start, so that no class starves. */
const MAX_PASSED_OVER = 16
/** A pause of this many mean intervals between two starts counts as a stall. */
const STALL_FACTOR = 8

/** The queues of all classes. Mutable, like the queues in it. */
export class Backlog {
  private readonly queues = classes.map(() => [createClassQueue(), createClassQueue()] as const)
  /** Starts of higher classes since the class last had one while it waited. */
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

  /** Removes and returns the next request that may start now. */
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

  /**
   * Estimated milliseconds until a request with `ahead` requests of its class before it gets a connection. `stalledMs`: for how long none
   * has started although some wait.
   */
  estimateWaitMs (request: Pick<AdmissionRequest, 'rank' | 'isTransaction'>, ahead: number, stalledMs: number, now: Instant): number {
    const { rank, isTransaction } = request
    const serviceMs = this.queueFor(request).service.at(now)
    const least = this.limits.connections / MAX_PASSED_OVER
    const left = this.shares.availableTo(rank, isTransaction, Math.min(1, least))
    let workMs = ahead * serviceMs
    for (let higher = 0; higher < rank; higher++) {
      for (const { requests, service } of this.queues[higher]!) workMs += requests.size * service.at(now)
    }
    return Math.max(workMs / left, (ahead + 1) * stalledMs / STALL_FACTOR)
  }

  /**
   * When a refused request should be retried: when the present queue has drained and the callers refused earlier have come back.
   * The times are spread, since callers that all came back at once would mostly be refused again.
   */
  retryAfterMs (request: Pick<AdmissionRequest, 'rank' | 'isTransaction'>, now: Instant, chance: number): number {
    const classQueue = this.queueFor(request)
    const serviceMs = classQueue.service.at(now)
    const left = this.shares.availableTo(request.rank, request.isTransaction, Math.min(1, this.limits.connections / MAX_PASSED_OVER))
    const retriesPerMs = this.limits.retryShare * left / serviceMs
    classQueue.expectedRetries = Math.max(0, classQueue.expectedRetries - (now - classQueue.expectedRetriesAt) * retriesPerMs) + 1
    classQueue.expectedRetriesAt = now
    const ms = this.estimateWaitMs(request, classQueue.requests.size, 0, now) + classQueue.expectedRetries / retriesPerMs
    return Math.ceil(Math.min(this.limits.maxRetryAfterMs, Math.max(serviceMs, ms)) * (1 + this.limits.jitter * chance))
  }

  /** The request to evict when the queue is full: of the lowest class, from the caller with the most waiting requests. */
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
      for (const { requests } of pair) {
        if (requests.size > 0) yield * requests.inServingOrder(now)
      }
    }
  }

  removeIdleCallers (): void {
    for (const pair of this.queues) {
      for (const { requests } of pair) requests.removeIdleCallers()
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
   * The next request of a class that was passed over `MAX_PASSED_OVER` times. It may use connections reserved for others, but only one
   * per class: otherwise long statements would in time occupy all of them.
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
