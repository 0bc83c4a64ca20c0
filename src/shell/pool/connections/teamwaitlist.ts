/** Admitted operations that wait for a borrowed connection of their team to be returned. */

import type { TeamId } from '../../../core/id/team.ts'

class Entry<T> {
  /** Resolves once the entry was taken from the list. */
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

/** The list is short, since each operation holds one of the host's connections to the endpoint, or room for one. */
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

  /** Removes and returns the most urgent operation of the team, the first among equals; undefined if none waits. */
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
