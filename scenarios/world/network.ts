/** The network of a run: delays, cuts, silent connections and broken ones. */

import type { Chance } from './chance.ts'
import type { Clock } from './clock.ts'
import { Connection } from './connection.ts'
import { LinkError } from './linkerror.ts'
import type { Node } from './node.ts'

/** One way, after the sizes that the users state. */
const NEAR_MS = 0.2
const FAR_MS = 1.5
const JITTER_MS = 0.3

export class Network {
  private connections = new Set<Connection>()
  private readonly cuts = new Set<string>()

  private constructor (private readonly clock: Clock, private readonly chance: Chance) {}

  static create (clock: Clock, chance: Chance): Network {
    return new Network(clock, chance)
  }

  connect (from: Node, to: Node): Connection {
    const connection = Connection.create(from, to)
    this.connections.add(connection)
    connection.onBreak(() => this.connections.delete(connection))
    return connection
  }

  cut (some: readonly Node[], others: readonly Node[]): void {
    for (const a of some) for (const b of others) if (a !== b) this.cuts.add(nameOf(a, b))
  }

  heal (): void {
    this.cuts.clear()
  }

  /** Silences the open connections between the nodes; new ones work. */
  silence (some: readonly Node[], others: readonly Node[]): void {
    for (const connection of this.connections) {
      if (some.some(a => others.some(b => connection.isBetween(a, b)))) connection.isSilent = true
    }
  }

  /** Ends a node's connections. The other end notices, unless it can't be reached. */
  drop (node: Node): void {
    for (const connection of [...this.connections]) {
      if (connection.from !== node && connection.to !== node) continue
      const isHeard = !connection.isSilent && !this.isCut(connection.from, connection.to)
      if (!isHeard) connection.isSilent = true
      else this.clock.after(FAR_MS, () => connection.break())
    }
  }

  /** Runs `work` at the other end. Rejects with a `LinkError`, or with what `work` throws. */
  async ask<T> (connection: Connection, ms: number, work: () => Promise<T> | T): Promise<T> {
    if (connection.isBroken) throw LinkError.refused
    return await new Promise<T>((resolve, reject) => {
      const off = connection.onBreak(() => reject(LinkError.broken))
      const callOff = this.clock.after(ms, () => reject(LinkError.silent))
      const settle = (end: () => void): void => {
        off()
        callOff()
        end()
      }
      this.roundTrip(connection, work).then(
        value => settle(() => resolve(value)),
        err => settle(() => reject(err)))
    })
  }

  /** Runs `work` at the other end, if what is sent arrives; nothing comes back. */
  async tell (connection: Connection, work: () => void): Promise<void> {
    await this.travel(connection, connection.from, connection.to)
    await connection.to.awake()
    if (connection.to.isUp && !connection.isBroken) work()
  }

  /** Resolves when what is sent arrives; never, when it's lost. */
  private async travel (connection: Connection, from: Node, to: Node): Promise<void> {
    if (connection.isSilent || this.isCut(from, to)) return await new Promise(() => undefined)
    const near = from.dataCentre === to.dataCentre
    await this.clock.sleep((near ? NEAR_MS : FAR_MS) + this.chance.next() * JITTER_MS)
  }

  private async roundTrip<T> (connection: Connection, work: () => Promise<T> | T): Promise<T> {
    const { from, to } = connection
    await this.travel(connection, from, to)
    if (!to.isUp || connection.isBroken) throw LinkError.refused
    await to.awake()
    const answer = await Promise.resolve().then(work).then(
      value => () => value,
      (err: unknown) => () => { throw err })
    await this.travel(connection, to, from)
    return answer()
  }

  private isCut (a: Node, b: Node): boolean {
    return this.cuts.has(nameOf(a, b))
  }
}

function nameOf (a: Node, b: Node): string {
  return a.id < b.id ? `${a.id}|${b.id}` : `${b.id}|${a.id}`
}
