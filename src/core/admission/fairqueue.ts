/** The waiting requests of one class, shared fairly between callers. */

import type { CallerId } from '../id/caller.ts'
import type { Instant } from '../id/instant.ts'
import type { AdmissionRequest } from './request.ts'

interface CallerQueue {
  readonly waiting: AdmissionRequest[]
  /** Connection time in milliseconds that the caller has used, on the queue's virtual clock. */
  usedMs: number
}

/**
 * Start-time fair queueing: the caller that has used the least connection time is next. Callers are charged the actual service time
 * of their requests, so neither many requests nor long ones give a caller more than its share while others wait.
 *
 * Requests before their soft deadline (`aim`) go before those past it. In an overload, first come first served would make every
 * request miss its soft deadline; this way some still meet it, and late requests run when no others wait.
 * Mutable: every request updates it, and copying would cost its length.
 */
export class FairQueue {
  private readonly callerQueues = new Map<CallerId, CallerQueue>()
  private length = 0
  /** Virtual time: the highest usage of a caller at the time it was served. */
  private level = 0

  private constructor () {}

  static create (): FairQueue {
    return new FairQueue()
  }

  get size (): number {
    return this.length
  }

  lengthOf (caller: CallerId): number {
    return this.callerQueues.get(caller)?.waiting.length ?? 0
  }

  /** How many requests would be served before the caller's next one, with callers taking turns. */
  countAhead (caller: CallerId, now: Instant): number {
    const count = (queue: CallerQueue) => queue.waiting.reduce((sum, request) => sum + (isBeforeAim(request, now) ? 1 : 0), 0)
    const joined = this.callerQueues.get(caller)
    const own = joined === undefined ? 0 : count(joined)
    let sum = own
    for (const queue of this.callerQueues.values()) {
      if (queue !== joined) sum += Math.min(count(queue), own + 1)
    }
    return sum
  }

  push (request: AdmissionRequest): void {
    const queue = this.queueOf(request.caller)
    if (queue.waiting.length === 0) queue.usedMs = Math.max(queue.usedMs, this.initialUsedMs())
    queue.waiting.push(request)
    this.length++
  }

  peek (now: Instant): AdmissionRequest | undefined {
    return this.nextTurn(now)?.request
  }

  shift (now: Instant): AdmissionRequest | undefined {
    const turn = this.nextTurn(now)
    if (turn === undefined) return undefined
    const { queue, request } = turn
    this.level = Math.max(this.level, queue.usedMs)
    this.length--
    queue.waiting.splice(queue.waiting.indexOf(request), 1)
    return request
  }

  remove (request: AdmissionRequest): void {
    const waiting = this.callerQueues.get(request.caller)?.waiting
    const at = waiting?.indexOf(request) ?? -1
    if (at < 0) return
    waiting!.splice(at, 1)
    this.length--
  }

  /** Charges connection time to a caller; a negative amount corrects an estimate. */
  charge (caller: CallerId, ms: number): void {
    this.queueOf(caller).usedMs += ms
  }

  /** The newest request of the caller with the most waiting requests: the first to evict in favour of another caller. */
  newestOfLongest (): AdmissionRequest | undefined {
    let most: CallerQueue | undefined
    for (const queue of this.callerQueues.values()) {
      if (queue.waiting.length > (most?.waiting.length ?? 0)) most = queue
    }
    return most?.waiting.at(-1)
  }

  /** Every waiting request with the number of requests served before it. */
  * inServingOrder (now: Instant): Generator<readonly [AdmissionRequest, number]> {
    const queues = [...this.callerQueues.values()].filter(queue => queue.waiting.length > 0)
    const onTime = queues.map(({ waiting }) => waiting.filter(request => isBeforeAim(request, now)))
    const late = queues.map(({ waiting }) => waiting.filter(request => !isBeforeAim(request, now)))
    let before = 0
    for (const part of [onTime, late]) {
      const longest = Math.max(0, ...part.map(({ length }) => length))
      for (let turn = 0; turn < longest; turn++) {
        for (const requests of part) {
          const request = requests[turn]
          if (request !== undefined) yield [request, before++]
        }
      }
    }
  }

  /** Removes callers without waiting requests or outstanding usage, so that memory isn't proportional to all callers ever seen. */
  removeIdleCallers (): void {
    for (const [caller, queue] of this.callerQueues) {
      if (queue.waiting.length === 0 && (this.length === 0 || queue.usedMs <= this.level)) this.callerQueues.delete(caller)
    }
  }

  private queueOf (caller: CallerId): CallerQueue {
    const known = this.callerQueues.get(caller)
    if (known !== undefined) return known
    const queue: CallerQueue = { waiting: [], usedMs: this.initialUsedMs() }
    this.callerQueues.set(caller, queue)
    return queue
  }

  /** Initial usage of a caller that joins: equal to that of the next caller, so that neither idle time nor an earlier burst counts. */
  private initialUsedMs (): number {
    return Math.min(this.level, this.nextCaller()?.usedMs ?? this.level)
  }

  private nextTurn (now: Instant): { readonly queue: CallerQueue, readonly request: AdmissionRequest } | undefined {
    let best: { readonly queue: CallerQueue, readonly request: AdmissionRequest } | undefined
    for (const queue of this.callerQueues.values()) {
      if (best !== undefined && queue.usedMs >= best.queue.usedMs) continue
      const request = queue.waiting.find(request => isBeforeAim(request, now))
      if (request !== undefined) best = { queue, request }
    }
    if (best !== undefined) return best
    const queue = this.nextCaller()
    return queue === undefined ? undefined : { queue, request: queue.waiting[0]! }
  }

  private nextCaller (): CallerQueue | undefined {
    let best: CallerQueue | undefined
    for (const queue of this.callerQueues.values()) {
      if (queue.waiting.length > 0 && (best === undefined || queue.usedMs < best.usedMs)) best = queue
    }
    return best
  }
}

function isBeforeAim ({ aim }: AdmissionRequest, now: Instant): boolean {
  return aim === undefined || now <= aim
}
