/** Limits on the time for which operations wait for a token of their team. */

import { afterEach, beforeEach, expect, it, vi } from 'vitest'
import type { HostId } from '../../../core/id/host.ts'
import type { Instant } from '../../../core/id/instant.ts'
import type { TeamId } from '../../../core/id/team.ts'
import type { Team } from '../../../core/pool/access/team.ts'
import type { PoolHost } from '../../../core/pool/placing/host.ts'
import { PoolMetrics } from '../metrics.ts'
import { Allowances } from './allowances.ts'

const TEAM: Team = { id: 'red' as TeamId, keys: [], rate: { perSecond: 100, burst: 100 } }
const MAX_WAIT_MS = 100
const MAX_SILENT_MS = 500
/** From a request for tokens to its answer. */
const ANSWER_MS = 10
const ISSUER = { id: 'h1' } as PoolHost
const now = () => Date.now() as Instant

beforeEach(() => { vi.useFakeTimers({ now: 0 }) })
afterEach(() => { vi.useRealTimers() })

/** Allowances of a host for which each request grants `count` tokens; undefined for issuers that don't answer. */
function allowancesGranting (count: number | undefined): Allowances {
  const allowances = Allowances.create({
    self: 'h2' as HostId,
    bounds: { windowMs: 5000, overage: 0.1, slack: 20 },
    trustMs: 10_000,
    isFirstStart: true,
    bornAt: 0 as Instant,
    ageMs: () => 0,
    team: () => TEAM,
    hosts: () => [ISSUER],
    port: {
      onRequest: () => {},
      ask: async () => {
        await new Promise<void>(resolve => { setTimeout(resolve, ANSWER_MS) })
        return count === undefined ? undefined : { count, nextMs: 0 }
      }
    },
    metrics: PoolMetrics.create(),
    chance: () => 0,
    now,
    age: now,
    pause: async ms => await new Promise(resolve => { setTimeout(resolve, ms) }),
    onStarted: () => {},
    onAskEnded: () => {}
  })
  allowances.updateIssuers(JSON.stringify([{ host: 'h1', term: 0 }]))
  return allowances
}

/** Starts operations at the same time; resolves with when each got its token or was refused. */
async function endings (allowances: Allowances, operations: number): Promise<ReadonlyArray<{ readonly isGranted: boolean, readonly at: number }>> {
  const ended: Array<{ isGranted: boolean, at: number }> = []
  for (let i = 0; i < operations; i++) allowances.take(TEAM, MAX_WAIT_MS, MAX_SILENT_MS).then(taken => ended.push({ isGranted: taken.isOk(), at: now() }))
  await vi.advanceTimersByTimeAsync(5000)
  return ended
}

it('operations of a team over its allowance wait at most twice their limit, though each request grants some tokens', async () => {
  // Otherwise operations queue until their time is up, and those within the allowance are late or refused as well.
  const ended = await endings(allowancesGranting(1), 100)
  expect(ended.length).toBe(100)
  // One more from the request that was in progress when their time ended.
  expect(ended.filter(({ isGranted }) => isGranted).length).toBe(2 * MAX_WAIT_MS / ANSWER_MS + 1)
  expect(Math.max(...ended.map(({ at }) => at))).toBeLessThanOrEqual(2 * MAX_WAIT_MS + ANSWER_MS)
})

it('operations wait longer while issuers don\'t answer', async () => {
  const ended = await endings(allowancesGranting(undefined), 3)
  expect(ended.map(({ isGranted }) => isGranted)).toEqual([false, false, false])
  expect(Math.min(...ended.map(({ at }) => at))).toBeGreaterThan(MAX_WAIT_MS)
  expect(Math.max(...ended.map(({ at }) => at))).toBeLessThanOrEqual(MAX_SILENT_MS + ANSWER_MS)
})
