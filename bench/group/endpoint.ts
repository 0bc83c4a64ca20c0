/** A model of one endpoint: a few places, a bounded queue before them, and a limit of connections that also counts dead ones. */

import type { Agenda } from '../load/agenda.ts'

interface Options {
  readonly agenda: Agenda
  /** Statements and openings that it works on at a time. */
  readonly places: number
  /** Most that wait for a place. */
  readonly mostQueued: number
  readonly mostConnections: number
  /** For so long it counts the connections of a host that lost its power; milliseconds. */
  readonly lingerMs: number
}

interface Job {
  readonly ms: number
  readonly done: () => void
}

export class ModelEndpoint {
  private readonly queue: Job[] = []
  private busy = 0
  private connections = 0
  /** All that it worked, in milliseconds. */
  workedMs = 0

  private constructor (private readonly options: Options) {}

  static create (options: Options): ModelEndpoint {
    return new ModelEndpoint(options)
  }

  get atWork (): number {
    return this.busy
  }

  get queued (): number {
    return this.queue.length
  }

  /** Works for so long, first come first served; false when its queue is full and nothing is done. */
  work (ms: number, done: () => void): boolean {
    if (this.busy === this.options.places && this.queue.length === this.options.mostQueued) return false
    this.queue.push({ ms, done })
    this.next()
    return true
  }

  /** Counts one more connection; false when it takes no more. */
  connect (): boolean {
    if (this.connections >= this.options.mostConnections) return false
    this.connections++
    return true
  }

  disconnect (): void {
    this.connections--
  }

  /** A host with so many connections lost its power. */
  abandon (count: number): void {
    this.options.agenda.add(this.options.lingerMs, () => { this.connections -= count })
  }

  private next (): void {
    const { agenda, places } = this.options
    if (this.busy >= places) return
    const job = this.queue.shift()
    if (job === undefined) return
    this.busy++
    agenda.add(job.ms, () => {
      this.busy--
      this.workedMs += job.ms
      job.done()
      this.next()
    })
  }
}
