/** One life of a proxy process on a host: nothing of it goes on after its end, and nothing while it's frozen. */

import type { Instant } from '../../src/core/id/instant.ts'
import type { Chance } from './chance.ts'
import type { Clock } from './clock.ts'
import type { Connection } from './connection.ts'
import type { Network } from './network.ts'
import type { Node } from './node.ts'

const CLOCK_SPREAD_MS = 1_000_000

export class Process {
  private readonly over = new AbortController()
  /** Each process's clock begins elsewhere, so that an instant of another's means nothing here. */
  private readonly offset: number

  private constructor (
    readonly node: Node,
    readonly incarnation: number,
    private readonly clock: Clock,
    readonly network: Network,
    readonly chance: Chance
  ) {
    this.offset = Math.floor(chance.next() * CLOCK_SPREAD_MS)
  }

  static start (node: Node, incarnation: number, clock: Clock, network: Network, chance: Chance): Process {
    return new Process(node, incarnation, clock, network, chance)
  }

  /** Unlike any other process's of the run. */
  get name (): string {
    return `${this.node.id}/${this.incarnation}`
  }

  get isOver (): boolean {
    return this.over.signal.aborted
  }

  /** Aborted at the end of the process's life. */
  get signal (): AbortSignal {
    return this.over.signal
  }

  end (): void {
    this.over.abort()
  }

  now (): Instant {
    return this.clock.now + this.offset as Instant
  }

  async sleep (ms: number): Promise<void> {
    await this.clock.sleep(ms)
    await this.running()
  }

  /** Sends news; a frozen process does so when it wakes up. */
  tell (connection: Connection, work: () => void): void {
    this.running().then(async () => await this.network.tell(connection, work))
  }

  /** Resolves when the process may go on: at once, after its freeze, or never. */
  async running (): Promise<void> {
    await this.node.awake()
    if (this.isOver) await new Promise(() => undefined)
  }

  async ask<T> (connection: Connection, ms: number, work: () => Promise<T> | T): Promise<T> {
    await this.running()
    try {
      return await this.network.ask(connection, ms, work)
    } finally {
      await this.running()
    }
  }
}
