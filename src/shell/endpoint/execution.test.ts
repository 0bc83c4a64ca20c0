/** Executions on a slot with a virtual clock: statements, transactions and the reuse of connections. */

import { create } from '@bufbuild/protobuf'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { Done_Outcome as DoneOutcome, Run_Access as RunAccess, RunSchema, type Done } from '../../gen/peer_pb.ts'
import type { TransactionId } from '../../core/id/transaction.ts'
import type { OkPacket } from '../mysql/okpacket.ts'
import type { QuerySink } from '../mysql/querysink.ts'
import { Execution } from './execution.ts'
import type { Slot } from './slot.ts'
import { Transactions } from './transactions.ts'

const IDLE_TIMEOUT_MS = 1000
const tx = 'tx-1' as TransactionId

/** A slot whose connection answers when the test calls `ok`. */
class Fixture {
  readonly events: string[] = []
  readonly dones: Array<Pick<Done, 'outcome' | 'reason'>> = []
  readonly rows: string[] = []
  readonly sinks: QuerySink[] = []
  isReset = true
  isCurrent = true
  isReachable = true
  private readonly connection = {
    isLost: false,
    run: (sql: string, sink: QuerySink) => {
      this.events.push(sql)
      this.sinks.push(sink)
    },
    reset: async () => this.isReset,
    pause: () => undefined,
    resume: () => undefined,
    destroy: () => undefined
  }

  readonly slot = {
    borrow: async () => {
      if (!this.isReachable) throw new Error('refused')
      return this.connection
    },
    returnConnection: (_: unknown, isClean: boolean) => { this.events.push(isClean ? 'lent again' : 'closed') },
    pin: () => undefined,
    unpin: () => undefined
  } as unknown as Slot

  readonly transactions = Transactions.create(this.slot, IDLE_TIMEOUT_MS)

  async run (sql: string, access: RunAccess, transaction = ''): Promise<Execution> {
    const context = {
      slot: this.slot,
      transactions: this.transactions,
      cleaner: { cleanIfDue: () => undefined },
      confirm: async () => true,
      proveCurrent: async () => this.isCurrent,
      wrote: () => undefined
    }
    const it = Execution.start(context, create(RunSchema, { sql, access, transaction, deadlineMs: 500 }), {
      head: () => undefined,
      rows: rows => this.rows.push(...rows.map(row => Buffer.from(row).toString())),
      done: ({ outcome, reason }) => this.dones.push({ outcome, reason })
    })
    await settle()
    return it
  }

  /** Answers the oldest statement that has no answer yet. */
  async ok (status: number): Promise<void> {
    this.sinks.shift()!.ok({ affected: 1, insertId: 0, status, token: undefined } as OkPacket)
    await settle()
  }
}

const IN_TRANSACTION = 1
const run = RunAccess.TRANSACTION

describe('Execution', () => {
  let bench: Fixture
  beforeEach(() => {
    vi.useFakeTimers()
    bench = new Fixture()
  })
  afterEach(() => { vi.useRealTimers() })

  // Closing the connection twice would count it twice, and the slot would exceed its limit.
  it('closes the connection once when a transaction is released while a statement runs', async () => {
    await bench.run('BEGIN', run, tx)
    await bench.ok(IN_TRANSACTION)
    await bench.run('UPDATE', run, tx)
    bench.transactions.release(tx)
    bench.transactions.release(tx)
    bench.sinks.shift()!.connectionLost(new Error('closed'))
    await settle()
    expect(bench.events).toEqual(['BEGIN', 'UPDATE', 'closed'])
    expect(bench.dones.at(-1)?.reason).toBe('lostTransaction')
  })

  // Two concurrent statements of a transaction would get each other's answers.
  it('refuses a second statement of a transaction while the first runs', async () => {
    await bench.run('BEGIN', run, tx)
    await bench.ok(IN_TRANSACTION)
    await bench.run('UPDATE a', run, tx)
    await bench.run('UPDATE b', run, tx)
    expect(bench.dones.at(-1)).toEqual({ outcome: DoneOutcome.NOT_RUN, reason: 'notSent' })
    await bench.ok(IN_TRANSACTION)
    expect(bench.dones.at(-1)?.outcome).toBe(DoneOutcome.DONE)
    expect(bench.events).toEqual(['BEGIN', 'UPDATE a'])
  })

  it('rolls back a transaction that is idle for longer than the timeout', async () => {
    await bench.run('BEGIN', run, tx)
    await bench.ok(IN_TRANSACTION)
    await vi.advanceTimersByTimeAsync(IDLE_TIMEOUT_MS)
    expect(bench.events).toEqual(['BEGIN', 'closed'])
    await bench.run('UPDATE', run, tx)
    expect(bench.dones.at(-1)?.reason).toBe('lostTransaction')
  })

  // Without a reset, temporary tables and locks would leak to the next borrower.
  it.each([[true, 'lent again'], [false, 'closed']])('reuses the connection of a committed transaction only after a successful reset (%s: %s)', async (isReset, last) => {
    bench.isReset = isReset
    await bench.run('BEGIN', run, tx)
    await bench.ok(IN_TRANSACTION)
    await bench.run('COMMIT', RunAccess.COMMIT, tx)
    await bench.ok(0)
    expect(bench.events).toEqual(['BEGIN', 'COMMIT', last])
  })

  // Rows that arrive after the deadline must not reach any caller.
  it('sends nothing after the deadline and closes the connection', async () => {
    await bench.run('SELECT', RunAccess.READ)
    await vi.advanceTimersByTimeAsync(500)
    const sink = bench.sinks.shift()!
    sink.row(Buffer.from('late'))
    sink.end(0)
    await settle()
    expect([bench.events, bench.rows, bench.dones.length]).toEqual([['SELECT', 'closed'], [], 1])
  })

  // A primary that is cut off from its group would answer a strict read with stale rows.
  it('refuses a strict read without proof that the primary is current, and a statement without a connection', async () => {
    bench.isCurrent = false
    await bench.run('SELECT', RunAccess.STRICT)
    bench.isReachable = false
    await bench.run('UPDATE', RunAccess.WRITE)
    expect([bench.events, bench.dones]).toEqual([[], [
      { outcome: DoneOutcome.NOT_RUN, reason: 'unproved' },
      { outcome: DoneOutcome.NOT_RUN, reason: 'unreachable' }
    ]])
  })

  it('sends no rows after a cancel', async () => {
    const execution = await bench.run('SELECT', RunAccess.READ)
    bench.sinks[0]!.row(Buffer.from('waiting'))
    execution.cancel()
    await settle()
    expect([bench.events, bench.rows, bench.dones]).toEqual([['SELECT', 'closed'], [], []])
  })
})

async function settle (): Promise<void> {
  await vi.advanceTimersByTimeAsync(0)
}
