/** What became of the requests of one stream in one run. */

import type { Stream } from './stream.ts'

const WINDOW_MS = 250
const ENOUGH = 0.99

/** Counts by the window in which a request first arrived. */
export class Tally {
  private readonly windows: Array<{ offered: number, inTime: number, work: number }> = []
  /** Answered as not run, with a time to come back. */
  refused = 0
  /** The deadline passed before there was any answer. */
  late = 0

  private constructor (readonly stream: Stream) {}

  static of (stream: Stream): Tally {
    return new Tally(stream)
  }

  offer (at: number): void {
    this.window(at).offered++
  }

  /** Done by its first deadline, that is without coming back. */
  inTime (arrivedAt: number): void {
    this.window(arrivedAt).inTime++
  }

  /** Connection time that led to an answer in time, counted when it ended. */
  worked (at: number, ms: number): void {
    this.window(at).work += ms
  }

  share (from: number, to: number): number {
    const some = this.between(from, to)
    return sum(some.map(one => one.inTime)) / Math.max(1, sum(some.map(one => one.offered)))
  }

  work (from: number, to: number): number {
    return sum(this.between(from, to).map(one => one.work))
  }

  /** The end of the last window of a period in which less than 99% were in time; its beginning when there is none. */
  unsettledUntil (from: number, to: number): number {
    const last = this.windows.findLastIndex((one, i) =>
      i * WINDOW_MS >= from && i * WINDOW_MS < to && one !== undefined && one.inTime < one.offered * ENOUGH)
    return last < 0 ? from : (last + 1) * WINDOW_MS
  }

  private between (from: number, to: number): ReturnType<Tally['window']>[] {
    return this.windows.slice(Math.floor(from / WINDOW_MS), Math.floor(to / WINDOW_MS)).filter(one => one !== undefined)
  }

  private window (at: number): { offered: number, inTime: number, work: number } {
    const i = Math.floor(at / WINDOW_MS)
    this.windows[i] ??= { offered: 0, inTime: 0, work: 0 }
    return this.windows[i]
  }
}

function sum (numbers: readonly number[]): number {
  return numbers.reduce((total, one) => total + one, 0)
}
