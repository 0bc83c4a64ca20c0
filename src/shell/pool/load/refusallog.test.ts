/** Log lines and metrics about groups that refuse statements, and their limits. */

import { afterEach, beforeEach, expect, it, vi } from 'vitest'
import { LoadSnapshot } from '../../../core/pool/load/loadsnapshot.ts'
import { Log } from '../../log/log.ts'
import { PoolMetrics } from '../metrics.ts'
import { loadGauges } from './gauges.ts'
import { RefusalLog } from './refusallog.ts'

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

function refusingGroups (...refused: readonly number[]): LoadSnapshot {
  return LoadSnapshot.of('h', refused.map((count, i) => ({
    group: `g${i}`,
    owners: 1,
    classes: [{ done: 9, refused: 0 }, { done: 0, refused: count }, { done: 0, refused: 0 }],
    teams: ['red', 'blue', 't1', 't2'].map(team => ({ team, done: 2, refused: count })),
    rest: { done: 0, refused: 0 },
    endpoints: [{ endpoint: `e${i}`, isPrimary: true, isLeaving: false, connections: 1, atWork: 1, waiting: [0, 3, 0], unreached: 0 }]
  })))
}

it.each<[string, LoadSnapshot, readonly string[]]>([
  ['none refuses: no line', refusingGroups(0, 0), []],
  ['one refuses: its line', refusingGroups(0, 4), ['g1']],
  ['all of ten refuse: those that refuse most', refusingGroups(1, 2, 3, 4, 5, 6, 7, 8, 9, 10), ['g9', 'g8', 'g7', 'g6', 'g5', 'g4', 'g3', 'g2']]
])('in a period in which %s', (_name, snapshot, expected) => {
  const lines: string[] = []
  const stop = new AbortController()
  RefusalLog.start({ look: () => snapshot, log: Log.to(line => lines.push(line)) }, stop.signal)
  vi.advanceTimersByTime(10_000)
  stop.abort()
  vi.advanceTimersByTime(60_000)
  const logged = lines.map(line => JSON.parse(line))
  expect(logged.map(({ group }) => group)).toEqual(expected)
  for (const one of logged) expect(one).toMatchObject({ event: 8041, done: 9, largest: expect.stringMatching(/^red 2 done \d+ refused, blue .*, t1 2 done \d+ refused$/) })
})

it('metrics name the three largest teams of a group, and drop teams without statements', async () => {
  const { registry } = PoolMetrics.create()
  let snapshot = refusingGroups(4)
  loadGauges(registry, () => snapshot)
  const text = await registry.metrics()
  expect(text.match(/^agatepond_team_statements\{/gm)).toHaveLength(6)
  expect(text).toContain('agatepond_team_statements{group="g0",team="red",ending="refused"} 4')
  expect(text).toContain('agatepond_waiting{endpoint="e0",class="normal"} 3')
  snapshot = LoadSnapshot.empty
  expect(await registry.metrics()).not.toMatch(/^agatepond_(team_statements|waiting)\{/m)
})
