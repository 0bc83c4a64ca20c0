/** A link to another proxy, replaced when it breaks or goes silent; mirrors src/shell/peer/link.ts and server.ts. */

import { create } from '@bufbuild/protobuf'
import { ConfirmedSchema, type Done, type Run } from '../../src/gen/peer_pb.ts'
import type { TransactionId } from '../../src/core/id/transaction.ts'
import { refusal } from '../../src/shell/peer/refusal.ts'
import type { SlotPort } from '../../src/shell/peer/slotport.ts'
import type { Connection } from './connection.ts'
import type { Node } from './node.ts'
import type { Process } from './process.ts'

type Sink = Parameters<SlotPort['run']>[1]

interface Answer {
  readonly head: readonly Uint8Array[] | undefined
  readonly rows: readonly Uint8Array[]
  readonly done: Done
}

interface Options {
  readonly process: Process
  readonly peer: Node
  /** The slots of the process that runs at the peer now. */
  readonly slots: () => SlotPort | undefined
  readonly onLinked: () => void
}

const BEAT_MS = 200
const SILENT_MS = 1500
const RETRY_MS = 100
const FOR_EVER_MS = 1_000_000

export class Link implements SlotPort {
  private connection: Connection | undefined

  private constructor (private readonly options: Options) {}

  static open (options: Options): Link {
    const it = new Link(options)
    it.keep()
    return it
  }

  get isUp (): boolean {
    return this.connection !== undefined
  }

  run (req: Run, sink: Sink): ReturnType<SlotPort['run']> {
    const { connection } = this
    let isOver = false
    let cancel = (): void => undefined
    if (connection === undefined) sink.done(refusal(0, 'noSlotOwner'))
    else {
      this.options.process.ask(connection, FOR_EVER_MS, async () => await this.runThere(connection, req, stop => { cancel = stop })).then(
        ({ head, rows, done }) => {
          if (isOver) return
          if (head !== undefined) sink.head(head)
          if (rows.length > 0) sink.rows(rows)
          sink.done(done)
        },
        () => { if (!isOver) sink.done(refusal(0, 'lost', 'the process that holds the slot is gone')) })
    }
    return {
      credit: () => undefined,
      cancel: () => {
        isOver = true
        this.tell(() => cancel())
      }
    }
  }

  async confirm (...args: Parameters<SlotPort['confirm']>): ReturnType<SlotPort['confirm']> {
    const { connection } = this
    const none = create(ConfirmedSchema, { ok: false })
    if (connection === undefined) return none
    return await this.options.process.ask(connection, FOR_EVER_MS, async () => await this.options.slots()?.confirm(...args) ?? none).catch(() => none)
  }

  release (transaction: TransactionId): void {
    this.tell(() => this.options.slots()?.release(transaction))
  }

  /** Sends news that nobody waits for. */
  tell (work: () => void): void {
    if (this.connection !== undefined) this.options.process.tell(this.connection, work)
  }

  /** The other end: whose asker is gone is given up, and its transactions are rolled back. */
  private async runThere (connection: Connection, req: Run, onStop: (stop: () => void) => void): Promise<Answer> {
    const slots = this.options.slots()
    if (slots === undefined) return await new Promise(() => undefined)
    return await new Promise(resolve => {
      let head: readonly Uint8Array[] | undefined
      const all: Uint8Array[] = []
      const running = slots.run(req, {
        head: columns => { head = columns },
        rows: rows => {
          all.push(...rows)
          running.credit(rows.reduce((sum, row) => sum + row.length, 0))
        },
        done: done => resolve({ head, rows: all, done })
      })
      onStop(() => running.cancel())
      connection.onBreak(() => {
        running.cancel()
        if (req.transaction !== '') slots.release(req.transaction as TransactionId)
      })
    })
  }

  private async keep (): Promise<void> {
    const { process, peer } = this.options
    for (;;) {
      const connection = process.network.connect(process.node, peer)
      await this.hold(connection).catch(() => undefined)
      this.connection = undefined
      connection.break()
      await process.sleep(RETRY_MS)
    }
  }

  private async hold (connection: Connection): Promise<void> {
    const { process, onLinked } = this.options
    const beat = async (): Promise<void> => await process.ask(connection, SILENT_MS, () => undefined)
    await beat()
    this.connection = connection
    onLinked()
    for (;;) {
      await process.sleep(BEAT_MS)
      await beat()
    }
  }
}
