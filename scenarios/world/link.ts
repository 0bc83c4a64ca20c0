/** A link to another proxy, replaced when it breaks or goes silent; mirrors src/shell/peer/link.ts. */

import type { Connection } from './connection.ts'
import type { Process } from './process.ts'
import type { Node } from './node.ts'

const BEAT_MS = 200
const SILENT_MS = 1500
const RETRY_MS = 100

export class Link {
  private connection: Connection | undefined

  private constructor (private readonly process: Process, private readonly peer: Node) {}

  static open (process: Process, peer: Node): Link {
    const it = new Link(process, peer)
    it.keep()
    return it
  }

  get isUp (): boolean {
    return this.connection !== undefined
  }

  /** Rejects when the link falls before the answer; what was asked may then have been done. */
  async ask<T> (ms: number, work: () => Promise<T> | T): Promise<T> {
    if (this.connection === undefined) throw new Error('not linked')
    return await this.process.ask(this.connection, ms, work)
  }

  /** Sends news that nobody waits for. */
  tell (work: () => void): void {
    if (this.connection !== undefined) this.process.network.tell(this.connection, work)
  }

  private async keep (): Promise<void> {
    const { process } = this
    for (;;) {
      const connection = process.network.connect(process.node, this.peer)
      await this.hold(connection).catch(() => undefined)
      this.connection = undefined
      connection.break()
      await process.sleep(RETRY_MS)
    }
  }

  private async hold (connection: Connection): Promise<void> {
    const beat = async (): Promise<void> => await this.process.ask(connection, SILENT_MS, () => undefined)
    await beat()
    this.connection = connection
    for (;;) {
      await this.process.sleep(BEAT_MS)
      await beat()
    }
  }
}
