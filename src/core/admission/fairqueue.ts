/** The requests of one class that wait, shared fairly between callers. */

import type { CallerId } from '../id/caller.ts'
import type { Instant } from '../id/instant.ts'
import type { AdmissionRequest } from './request.ts'

interface CallerQueue {
  readonly waiting: AdmissionRequest[]
  /** Milliseconds of connections that the caller has used, counted from when it joined. */
  usedMs: number
}

/**
 * Start-time fair queueing: next is the caller that has used the least
 * connection time, charged with what its requests really took. So neither many
 * requests nor long ones give a caller more than its share while others wait.
 *
 * Requests that can still make their aim go before those that can't. Guard against an overload in which first come first served makes everybody late:
 * each waits for as long as the queue is, longer than its aim, and what is carried serves nobody well. A late one has its turn once no other waits.
 * Changes in place: it's touched by every request, and copying would cost its length.
 */
export class FairQueue {
  private readonly callerQueues = new Map<CallerId, CallerQueue>()
  private length = 0
  /** The most that a caller had used when it was served. */
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

  /** How many requests go first if the caller's next one joins, the others taking turns with it. */
  countAhead (caller: CallerId, now: Instant): number {
    const count = (lane: CallerQueue) => lane.waiting.reduce((sum, request) => sum + (isBeforeAim(request, now) ? 1 : 0), 0)
    const joined = this.callerQueues.get(caller)
    const own = joined === undefined ? 0 : count(joined)
    let sum = own
    for (const lane of this.callerQueues.values()) {
      if (lane !== joined) sum += Math.min(count(lane), own + 1)
    }
    return sum
  }

  push (request: AdmissionRequest): void {
    const lane = this.queueOf(request.caller)
    if (lane.waiting.length === 0) lane.usedMs = Math.max(lane.usedMs, this.initialUsedMs())
    lane.waiting.push(request)
    this.length++
  }

  peek (now: Instant): AdmissionRequest | undefined {
    return this.nextTurn(now)?.request
  }

  shift (now: Instant): AdmissionRequest | undefined {
    const turn = this.nextTurn(now)
    if (turn === undefined) return undefined
    const { lane, request } = turn
    this.level = Math.max(this.level, lane.usedMs)
    this.length--
    lane.waiting.splice(lane.waiting.indexOf(request), 1)
    return request
  }

  remove (request: AdmissionRequest): void {
    const waiting = this.callerQueues.get(request.caller)?.waiting
    const at = waiting?.indexOf(request) ?? -1
    if (at < 0) return
    waiting!.splice(at, 1)
    this.length--
  }

  /** Charges connection time to a caller; negative to correct an estimate. */
  charge (caller: CallerId, ms: number): void {
    this.queueOf(caller).usedMs += ms
  }

  /** The newest request of the caller with the most waiting: the one to give up for another caller's first. */
  newestOfLongest (): AdmissionRequest | undefined {
    let most: CallerQueue | undefined
    for (const lane of this.callerQueues.values()) {
      if (lane.waiting.length > (most?.waiting.length ?? 0)) most = lane
    }
    return most?.waiting.at(-1)
  }

  /** Every waiting request with the number that goes before it. */
  * inServingOrder (now: Instant): Generator<readonly [AdmissionRequest, number]> {
    const lanes = [...this.callerQueues.values()].filter(lane => lane.waiting.length > 0)
    const inAim = lanes.map(({ waiting }) => waiting.filter(request => isBeforeAim(request, now)))
    const late = lanes.map(({ waiting }) => waiting.filter(request => !isBeforeAim(request, now)))
    let before = 0
    for (const part of [inAim, late]) {
      const longest = Math.max(0, ...part.map(({ length }) => length))
      for (let turn = 0; turn < longest; turn++) {
        for (const requests of part) {
          const request = requests[turn]
          if (request !== undefined) yield [request, before++]
        }
      }
    }
  }

  /** Forgets callers that wait for nothing and owe nothing, so that the table doesn't grow with all callers ever seen. */
  removeIdleCallers (): void {
    for (const [caller, lane] of this.callerQueues) {
      if (lane.waiting.length === 0 && (this.length === 0 || lane.usedMs <= this.level)) this.callerQueues.delete(caller)
    }
  }

  private queueOf (caller: CallerId): CallerQueue {
    const known = this.callerQueues.get(caller)
    if (known !== undefined) return known
    const lane: CallerQueue = { waiting: [], usedMs: this.initialUsedMs() }
    this.callerQueues.set(caller, lane)
    return lane
  }

  /** Where a caller that joins begins: level with the next in turn, so that idling earns nothing and a burst before it costs nothing. */
  private initialUsedMs (): number {
    return Math.min(this.level, this.nextCaller()?.usedMs ?? this.level)
  }

  private nextTurn (now: Instant): { readonly lane: CallerQueue, readonly request: AdmissionRequest } | undefined {
    let best: { readonly lane: CallerQueue, readonly request: AdmissionRequest } | undefined
    for (const lane of this.callerQueues.values()) {
      if (best !== undefined && lane.usedMs >= best.lane.usedMs) continue
      const request = lane.waiting.find(request => isBeforeAim(request, now))
      if (request !== undefined) best = { lane, request }
    }
    if (best !== undefined) return best
    const lane = this.nextCaller()
    return lane === undefined ? undefined : { lane, request: lane.waiting[0]! }
  }

  private nextCaller (): CallerQueue | undefined {
    let best: CallerQueue | undefined
    for (const lane of this.callerQueues.values()) {
      if (lane.waiting.length > 0 && (best === undefined || lane.usedMs < best.usedMs)) best = lane
    }
    return best
  }
}

function isBeforeAim ({ aim }: AdmissionRequest, now: Instant): boolean {
  return aim === undefined || now <= aim
}
