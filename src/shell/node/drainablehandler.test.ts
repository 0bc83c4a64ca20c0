/** Requests that arrive after their connection was closed. */

import { setImmediate as readPending } from 'node:timers/promises'
import { describe, expect, it } from 'vitest'
import type { Instant } from '../../core/id/instant.ts'
import type { CommandHandler } from '../mysql/commandhandler.ts'
import type { Reply } from '../mysql/reply.ts'
import { DrainableHandler } from './drainablehandler.ts'

// A draining proxy closes an idle connection while a request is on its way. The caller sees a lost connection and sends
// the request again elsewhere, so a write would be done twice if the first one ran as well.
describe('a request that arrives after its connection was closed', () => {
  it('is not run', async () => {
    const ran: string[] = []
    let now = 0
    let isClosed = false
    const handler = { query: async (sql: string) => { ran.push(sql) } } as unknown as CommandHandler
    const wrapped = DrainableHandler.before({
      handler,
      timings: { transactionsMs: 10_000, callersMs: 5000, idleMs: 500, pauseMs: 20 },
      now: () => now as Instant,
      leavingSince: () => now > 0 ? 1 as Instant : undefined,
      connection: { isReceiving: () => false, closeConnection: async () => { isClosed = true } },
      onClosed: () => undefined
    })
    await wrapped.query('first', {} as Reply)
    now = 1000
    wrapped.tick()
    await readPending()
    await readPending()
    expect(isClosed).toBe(true)
    await wrapped.query('crossed', {} as Reply)
    expect(ran).toEqual(['first'])
  })
})
