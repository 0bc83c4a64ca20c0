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
  private entries: Array<Entry<T>> = []

  private constructor () {}

  static create<T> (): TeamWaitList<T> {
    return new TeamWaitList()
  }

  countOf (team: TeamId | undefined): number {
    return this.entries.filter(entry => entry.team === team).length
  }

  add (team: TeamId | undefined, rank: number, value: T): Entry<T> {
    const entry = Entry.create(team, rank, value)
    this.entries.push(entry)
    return entry
  }

  remove (entry: Entry<T>): void {
    this.entries = this.entries.filter(other => other !== entry)
  }

  /** Removes and returns the most urgent operation of the team, the first among equals; undefined if none waits. */
  take (team: TeamId | undefined): T | undefined {
    let best: Entry<T> | undefined
    for (const entry of this.entries) {
      if (entry.team === team && (best === undefined || entry.rank < best.rank)) best = entry
    }
    if (best === undefined) return undefined
    this.remove(best)
    return best.take()
  }

  takeAll (): readonly T[] {
    const { entries } = this
    this.entries = []
    return entries.map(entry => entry.take())
  }
}
