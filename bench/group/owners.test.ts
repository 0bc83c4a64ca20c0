/** What the owners of a group make of an endpoint's places; the counts are the same on every machine. */

import { describe, expect, it } from 'vitest'
import { PlaceLimit } from '../../src/core/pool/load/placelimit.ts'
import type { Instant } from '../../src/core/id/instant.ts'
import { OwnersModel } from './owners.ts'

type Options = Parameters<typeof OwnersModel.run>[0]
type Way = Pick<Options, 'limit' | 'isHeard'>

const PLACES = 5
const SEEDS = [1, 2, 3]
const END_MS = 20_000
const OWNERS = [0, 1, 2, 3, 4, 5, 6]
const steady = { opens: 0.2, from: 0, to: END_MS }
const surge = { opens: 0.2, from: 4000, to: 14_000 }
const BUSY: Options['streams'] = OWNERS.map(at => ({ team: `t${at}`, owners: [at, (at + 3) % OWNERS.length], ...steady })).flatMap(team => [
  { ...team, rank: 0, perSecond: 14, workMs: 8 },
  { ...team, rank: 1, perSecond: 9, workMs: 24 },
  { ...team, rank: 2, perSecond: 6, workMs: 40 }
])
const loads: ReadonlyArray<[string, Options['streams']]> = [
  ['nine tenths of what the endpoint carries', BUSY],
  ['a hot team', [...BUSY, { team: 'hot', rank: 1, owners: [0, 1], perSecond: 90, workMs: 24, ...surge }]],
  ['a flood of the lowest class', [...BUSY, { team: 'flood', rank: 2, owners: OWNERS, perSecond: 60, workMs: 40, ...surge }]]
]

const byReports: Way = { limit: (agenda, phase) => PlaceLimit.create(PLACES, phase, agenda.now as Instant), isHeard: true }
const byLatency: Way = { ...byReports, isHeard: false }
/** As many as an owner has connections: the queue is the endpoint's. */
const byConnections: Way = { limit: () => ({ at: () => 4, backOff: () => {}, answered: () => {} }), isHeard: false }

function run (streams: Options['streams'], way: Way) {
  const runs = SEEDS.map(seed => OwnersModel.run({ owners: OWNERS.length, streams, ...way, seed, endMs: END_MS }))
  const mean = (pick: (one: OwnersModel) => number) => runs.reduce((sum, one) => sum + pick(one), 0) / runs.length
  const isSurge = (team: string) => team === 'hot' || team === 'flood'
  return {
    busy: mean(one => one.busyWhileWaiting),
    queued: mean(one => one.queuedThere),
    shed: mean(one => one.shed),
    /** Of the teams that ask as always: the time within which 99% of a class have their answer. */
    slowest: [0, 1, 2].map(rank => mean(one => one.quantile(rank, 0.99, team => !isSurge(team)))),
    /** The part of what these ask that is answered, by class. */
    served: [0, 1, 2].map(rank => mean(one => one.served(rank, team => !isSurge(team)))),
    surge: mean(one => one.served(1, isSurge) || one.served(2, isSurge))
  }
}

describe.each(loads)('%s', (_name, streams) => {
  const [reports, latency, connections] = [byReports, byLatency, byConnections].map(way => run(streams, way)) as [ReturnType<typeof run>, ReturnType<typeof run>, ReturnType<typeof run>]
  if (process.env['SHOW_FIGURES'] !== undefined) console.log(JSON.stringify({ reports, latency, connections }, (_, value) => typeof value === 'number' ? Number(value.toFixed(3)) : value))

  it('places are used while anything waits', () => expect(reports.busy).toBeGreaterThanOrEqual(0.95))
  it('the queue stands with the owners', () => {
    expect(reports.queued).toBeLessThanOrEqual(PLACES)
    expect(reports.queued).toBeLessThan(connections.queued / 2)
    expect(latency.queued).toBeLessThan(connections.queued)
  })

  it('the endpoint refuses nothing', () => expect([reports.shed, latency.shed]).toEqual([0, 0]))
  it('the urgent are served sooner than in the endpoint\'s own order', () => expect(reports.slowest[0]).toBeLessThan(connections.slowest[0]!))
  it('and sooner than where owners don\'t hear of each other', () => expect(reports.slowest[0]).toBeLessThan(latency.slowest[0]!))
})
