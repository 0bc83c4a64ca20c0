/** What waits at a slot, and how long it takes to drain. */

import type { Instant } from '../id/instant.ts'
import { classes } from './classes.ts'
import { FairQueue } from './fairqueue.ts'
import type { Limits } from './limits.ts'
import type { AdmissionRequest } from './request.ts'
import { ServiceTime } from './servicetime.ts'
import type { Shares } from './shares.ts'

/** Statements of one class, or its transactions. A transaction that may not start yet must not hold up statements behind it. */
interface Line {
  readonly queue: FairQueue
  readonly service: ServiceTime
  /** Requests that were told to come back and haven't had their turn yet, as far as it's known. */
  booked: number
  bookedAt: Instant
}

/** One start in so many goes to a lower class that waits, so that no class starves. */
const TURNS = 16
/** So many times the mean gap between two starts of requests counts as a stall. */
const STALL = 8

/** The queues of all classes. Changes in place, like the queues that it holds. */
export class Backlog {
  private readonly lines = classes.map(() => [newLine(), newLine()] as const)
  /** Starts of others since the class had one while it waited. */
  private readonly passed = classes.map(() => 0)

  private constructor (public limits: Limits, private readonly shares: Shares) {}

  static create (limits: Limits, shares: Shares): Backlog {
    return new Backlog(limits, shares)
  }

  get size (): number {
    return this.lines.reduce((sum, _, rank) => sum + this.sizeOf(rank), 0)
  }

  sizeOf (rank: number): number {
    const [statements, transactions] = this.lines[rank]!
    return statements.queue.size + transactions.queue.size
  }

  line ({ rank, isTransaction }: Pick<AdmissionRequest, 'rank' | 'isTransaction'>): Line {
    return this.lines[rank]![isTransaction ? 1 : 0]
  }

  /** Takes out the request whose turn it is among those that may start now. */
  shift (now: Instant): AdmissionRequest | undefined {
    const next = this.owed(now) ?? this.highest(now)
    if (next === undefined) return undefined
    const { rank } = next
    this.passed[rank] = 0
    for (let lower = rank + 1; lower < classes.length; lower++) {
      this.passed[lower] = this.sizeOf(lower) > 0 ? this.passed[lower]! + 1 : 0
    }
    return this.line(next).queue.shift(now)
  }

  /** The time until a request that has so many of its line ahead gets a connection. `stalledMs`: for how long none has started although some wait. */
  waitMs (request: Pick<AdmissionRequest, 'rank' | 'isTransaction'>, ahead: number, stalledMs: number, now: Instant): number {
    const { rank, isTransaction } = request
    const own = this.line(request).service.at(now)
    const least = this.limits.connections / TURNS
    const left = this.shares.leftFor(rank, isTransaction, Math.min(1, least))
    let work = ahead * own
    for (let higher = 0; higher < rank; higher++) {
      for (const { queue, service } of this.lines[higher]!) work += queue.size * service.at(now)
    }
    return Math.max(work / left, (ahead + 1) * stalledMs / STALL)
  }

  /**
   * When a refused request should come back: once what waits now has drained,
   * and those told to come back before it have had their turn. Told the same
   * time they would all be back at once, and all but a few refused again.
   */
  retryAfterMs (request: Pick<AdmissionRequest, 'rank' | 'isTransaction'>, now: Instant, chance: number): number {
    const line = this.line(request)
    const own = line.service.at(now)
    const left = this.shares.leftFor(request.rank, request.isTransaction, Math.min(1, this.limits.connections / TURNS))
    const perMs = this.limits.returnShare * left / own
    line.booked = Math.max(0, line.booked - (now - line.bookedAt) * perMs) + 1
    line.bookedAt = now
    const ms = this.waitMs(request, line.queue.size, 0, now) + line.booked / perMs
    return Math.ceil(Math.min(this.limits.mostRetryAfterMs, Math.max(own, ms)) * (1 + this.limits.jitter * chance))
  }

  /** The request to give up so that another fits in: the lowest class first, of the caller with the most waiting. */
  leastWorth (request: AdmissionRequest): AdmissionRequest {
    for (let rank = classes.length - 1; rank > request.rank; rank--) {
      const other = this.longest(rank)
      if (other !== undefined) return other
    }
    const other = this.longest(request.rank)
    if (other === undefined) return request
    return this.line(other).queue.lengthOf(other.caller) > this.line(request).queue.lengthOf(request.caller) + 1 ? other : request
  }

  * all (now: Instant): Generator<readonly [AdmissionRequest, number]> {
    for (const pair of this.lines) {
      for (const { queue } of pair) {
        if (queue.size > 0) yield * queue.inTurn(now)
      }
    }
  }

  tidy (): void {
    for (const pair of this.lines) {
      for (const { queue } of pair) queue.tidy()
    }
  }

  private longest (rank: number): AdmissionRequest | undefined {
    const [statements, transactions] = this.lines[rank]!
    return (statements.queue.size >= transactions.queue.size ? statements : transactions).queue.longest()
  }

  private highest (now: Instant): AdmissionRequest | undefined {
    for (let rank = 0; rank < classes.length; rank++) {
      const next = this.startable(rank, now)
      if (next !== undefined) return next
    }
    return undefined
  }

  /**
   * The statement of a class that was passed over long enough. It goes before
   * the reserves of others, so such a class has one connection this way and no
   * more: long statements would else gather on all of them, turn by turn.
   */
  private owed (now: Instant): AdmissionRequest | undefined {
    for (let rank = classes.length - 1; rank > 0; rank--) {
      if (this.passed[rank]! < TURNS) continue
      const next = this.startable(rank, now) ?? (this.shares.usedBy(rank) === 0 ? this.lines[rank]![0].queue.peek(now) : undefined)
      if (next !== undefined) return next
    }
    return undefined
  }

  /** Of the class's next statement and next transaction, the one that came first. */
  private startable (rank: number, now: Instant): AdmissionRequest | undefined {
    const [statements, transactions] = this.lines[rank]!
    const statement = statements.queue.size > 0 && this.shares.mayStart(rank, false) ? statements.queue.peek(now) : undefined
    const transaction = transactions.queue.size > 0 && this.shares.mayStart(rank, true) ? transactions.queue.peek(now) : undefined
    if (statement === undefined || transaction === undefined) return statement ?? transaction
    return statement.id < transaction.id ? statement : transaction
  }
}

function newLine (): Line {
  return { queue: FairQueue.create(), service: ServiceTime.create(), booked: 0, bookedAt: 0 as Instant }
}
