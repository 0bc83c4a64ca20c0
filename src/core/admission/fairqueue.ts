/** The requests of one class that wait, shared fairly between callers. */

import type { CallerId } from '../id/caller.ts'
import type { AdmissionRequest } from './request.ts'

interface Lane {
  readonly waiting: AdmissionRequest[]
  /** Milliseconds of connections that the caller has used, counted from when it joined. */
  used: number
}

/**
 * Start-time fair queueing: next is the caller that has used the least
 * connection time, charged with what its requests really took. So neither many
 * requests nor long ones give a caller more than its share while others wait.
 * Changes in place: it's touched by every request, and copying would cost its length.
 */
export class FairQueue {
  private readonly lanes = new Map<CallerId, Lane>()
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
    return this.lanes.get(caller)?.waiting.length ?? 0
  }

  /** How many requests go first if the caller's next one joins, the others taking turns with it. */
  ahead (caller: CallerId): number {
    const own = this.lengthOf(caller)
    let sum = own
    for (const [other, lane] of this.lanes) {
      if (other !== caller) sum += Math.min(lane.waiting.length, own + 1)
    }
    return sum
  }

  push (request: AdmissionRequest): void {
    const lane = this.lane(request.caller)
    if (lane.waiting.length === 0) lane.used = Math.max(lane.used, this.joinLevel())
    lane.waiting.push(request)
    this.length++
  }

  peek (): AdmissionRequest | undefined {
    return this.next()?.waiting[0]
  }

  shift (): AdmissionRequest | undefined {
    const lane = this.next()
    if (lane === undefined) return undefined
    this.level = Math.max(this.level, lane.used)
    this.length--
    return lane.waiting.shift()
  }

  remove (request: AdmissionRequest): void {
    const waiting = this.lanes.get(request.caller)?.waiting
    const at = waiting?.indexOf(request) ?? -1
    if (at < 0) return
    waiting!.splice(at, 1)
    this.length--
  }

  /** Charges connection time to a caller; negative to correct an estimate. */
  charge (caller: CallerId, ms: number): void {
    this.lane(caller).used += ms
  }

  /** The newest request of the caller with the most waiting: the one to give up for another caller's first. */
  longest (): AdmissionRequest | undefined {
    let most: Lane | undefined
    for (const lane of this.lanes.values()) {
      if (lane.waiting.length > (most?.waiting.length ?? 0)) most = lane
    }
    return most?.waiting.at(-1)
  }

  /** Every waiting request with the number that goes before it. */
  * inTurn (): Generator<readonly [AdmissionRequest, number]> {
    const lanes = [...this.lanes.values()].filter(lane => lane.waiting.length > 0)
    let before = 0
    for (let turn = 0; before < this.length; turn++) {
      for (const lane of lanes) {
        const request = lane.waiting[turn]
        if (request !== undefined) yield [request, before++]
      }
    }
  }

  /** Forgets callers that wait for nothing and owe nothing, so that the table doesn't grow with all callers ever seen. */
  tidy (): void {
    for (const [caller, lane] of this.lanes) {
      if (lane.waiting.length === 0 && (this.length === 0 || lane.used <= this.level)) this.lanes.delete(caller)
    }
  }

  private lane (caller: CallerId): Lane {
    const known = this.lanes.get(caller)
    if (known !== undefined) return known
    const lane: Lane = { waiting: [], used: this.joinLevel() }
    this.lanes.set(caller, lane)
    return lane
  }

  /** Where a caller that joins begins: level with the next in turn, so that idling earns nothing and a burst before it costs nothing. */
  private joinLevel (): number {
    return Math.min(this.level, this.next()?.used ?? this.level)
  }

  private next (): Lane | undefined {
    let best: Lane | undefined
    for (const lane of this.lanes.values()) {
      if (lane.waiting.length > 0 && (best === undefined || lane.used < best.used)) best = lane
    }
    return best
  }
}
