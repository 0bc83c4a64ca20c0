/** Requests that cross the closing of their connection. */

import { describe, expect, it } from 'vitest'
import type { Instant } from '../../core/id/instant.ts'
import type { CommandHandler } from '../mysql/commandhandler.ts'
import type { Reply } from '../mysql/reply.ts'
import { DrainableHandler } from './drainablehandler.ts'

// A leaving proxy closes an idle connection while a reel return is on the wire to it. The caller sees a lost connection
// and books the return again elsewhere; had the first one run as well, the reel would be counted twice.
describe('a request that crosses the closing of its connection', () => {
  it('is not run', async () => {
    const ran: string[] = []
    let now = 0
    let isClosed = false
    const handler = { query: async (sql: string) => { ran.push(sql) } } as unknown as CommandHandler
    const gate = DrainableHandler.before({
      handler,
      timings: { transactionsMs: 10_000, callersMs: 5000, idleMs: 500, pauseMs: 20 },
      now: () => now as Instant,
      leavingSince: () => now > 0 ? 1 as Instant : undefined,
      hangUp: () => { isClosed = true },
      onClosed: () => undefined
    })
    await gate.query('first', {} as Reply)
    now = 1000
    gate.tick()
    expect(isClosed).toBe(true)
    await gate.query('crossed', {} as Reply)
    expect(ran).toEqual(['first'])
  })
})
