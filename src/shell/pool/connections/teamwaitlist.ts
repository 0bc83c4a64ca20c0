/** Operations that were let in and wait for a connection of their team, while those are on loan. */

import type { TeamId } from '../../../core/id/team.ts'

class Entry<T> {
  /** Resolves once it's left, or taken by a connection that came back. */
  readonly ended: Promise<void>
  isTaken = false
  private end: () => void = () => {}

  private constructor (readonly team: TeamId | undefined, readonly rank: number, readonly value: T) {
    this.ended = new Promise(resolve => { this.end = resolve })
  }

  static create<T> (team: TeamId | undefined, rank: number, value: T): Entry<T> {
    return new Entry(team, rank, value)
  }

  take (): T {
    this.isTaken = true
    this.end()
    return this.value
  }
}

/** Few at a time: each holds one of a host's connections to the endpoint, or room for one. */
export class TeamWaitList<T> {
  private seats: Array<Entry<T>> = []

  private constructor () {}

  static create<T> (): TeamWaitList<T> {
    return new TeamWaitList()
  }

  countOf (team: TeamId | undefined): number {
    return this.seats.filter(seat => seat.team === team).length
  }

  join (team: TeamId | undefined, rank: number, value: T): Entry<T> {
    const seat = Entry.create(team, rank, value)
    this.seats.push(seat)
    return seat
  }

  leave (seat: Entry<T>): void {
    this.seats = this.seats.filter(other => other !== seat)
  }

  /** The most urgent of the team, the first among equals; undefined when none of it waits. */
  take (team: TeamId | undefined): T | undefined {
    let best: Entry<T> | undefined
    for (const seat of this.seats) {
      if (seat.team === team && (best === undefined || seat.rank < best.rank)) best = seat
    }
    if (best === undefined) return undefined
    this.leave(best)
    return best.take()
  }

  takeAll (): readonly T[] {
    const { seats } = this
    this.seats = []
    return seats.map(seat => seat.take())
  }
}
