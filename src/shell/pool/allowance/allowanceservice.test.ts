/** When an issuer of tokens is replaced, in virtual time. */

import { ok } from 'neverthrow'
import { afterEach, beforeEach, expect, it, vi } from 'vitest'
import type { HostId } from '../../../core/id/host.ts'
import type { TeamId } from '../../../core/id/team.ts'
import type { Team } from '../../../core/pool/access/team.ts'
import type { PoolHost } from '../../../core/pool/placing/host.ts'
import { Log } from '../../log/log.ts'
import type { RowStore } from '../membership/rowstore.ts'
import { PoolMetrics } from '../metrics.ts'
import { AllowanceService } from './allowanceservice.ts'

// Fake timers don't replace the clock of the process.
vi.mock('../clock.ts', () => ({ clock: { now: () => Date.now(), age: () => Date.now() } }))
vi.mock('node:timers/promises', () => ({ setTimeout: async (ms: number) => await new Promise<void>(resolve => { setTimeout(resolve, ms) }) }))

const TEAM: Team = { id: 'red' as TeamId, keys: [], rate: { perSecond: 100, burst: 100 } }
const HOSTS = ['h1', 'h2', 'h3'].map(id => ({ id: id as HostId }) as PoolHost)
const TICK_MS = 500
const TICKS = 60

beforeEach(() => { vi.useFakeTimers({ now: 0, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date'] }) })
afterEach(() => { vi.useRealTimers() })

// Guards against a healthy issuer that is replaced by a host whose own link is full: the team lacks its tokens until the new one may issue.
it.each<[string, number | undefined, readonly string[]]>([
  ['whose answers are all late is kept', 500, []],
  ['that never answers is replaced', undefined, ['h2']]
])('an issuer %s', async (_, lateMs, expected) => {
  const named: string[] = []
  const change: RowStore['change'] = async ([row]) => {
    named.push(...(JSON.parse(row!.value!) as Array<{ host: string }>).map(({ host }) => host))
    return ok(2)
  }
  const service = AllowanceService.create({
    self: 'h2' as HostId,
    bounds: { windowMs: 5000, overage: 0.1, slack: 20 },
    port: {
      onRequest: () => {},
      ask: async (_host, _request, timeoutMs, onLate) => {
        if (lateMs !== undefined) setTimeout(() => onLate?.(), lateMs)
        return await new Promise(resolve => { setTimeout(() => resolve(undefined), timeoutMs) })
      }
    },
    isFirstStart: true,
    trustMs: 1000,
    ageMs: () => 0,
    team: () => TEAM,
    hosts: () => HOSTS,
    store: { change } as RowStore,
    table: 'shared',
    log: Log.silent,
    metrics: PoolMetrics.create(),
    chance: () => 0,
    signal: new AbortController().signal
  })
  service.applySharedRow({ key: 'issuers', version: 1, value: JSON.stringify([{ host: 'h1', term: 0 }]) })
  for (let i = 0; i < TICKS && named.length === 0; i++) {
    service.allowances.take(TEAM, TICK_MS / 5, TICK_MS)
    await vi.advanceTimersByTimeAsync(TICK_MS)
    service.tick()
  }
  expect(named.filter(host => host !== 'h1')).toEqual(expected)
})
