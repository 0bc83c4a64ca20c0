/** What the owners of a group make of an endpoint's places; the counts are the same on every machine. */

import { describe, expect, it } from 'vitest'
import { PlaceLimit } from '../../src/core/pool/load/placelimit.ts'
import type { Agenda } from '../load/agenda.ts'
import type { Instant } from '../../src/core/id/instant.ts'
import { OwnersModel } from './owners.ts'

type Options = Parameters<typeof OwnersModel.run>[0]

const END_MS = 20_000
const ALL = [0, 1, 2, 3, 4, 5, 6]
const steady = { opens: 0.2, from: 0, to: END_MS }
const CALM: Options['streams'] = ALL.map(at => ({ team: `t${at}`, owners: [at, (at + 3) % 7], ...steady })).flatMap(team => [
  { ...team, rank: 0, perSecond: 14, workMs: 8 },
  { ...team, rank: 1, perSecond: 9, workMs: 24 },
  { ...team, rank: 2, perSecond: 6, workMs: 40 }
])
const HOT: Options['streams'] = [...CALM, { team: 'hot', rank: 1, owners: [0, 1], perSecond: 90, workMs: 24, opens: 0.2, from: 4000, to: 14_000 }]
const FLOOD: Options['streams'] = [...CALM, { team: 'flood', rank: 2, owners: ALL, perSecond: 60, workMs: 40, opens: 0.2, from: 4000, to: 14_000 }]

const shared: Pick<Options, 'limit' | 'isHeard'> = {
  limit: (agenda: Agenda, phase) => {
    const limit = PlaceLimit.create(5, phase, agenda.now as Instant)
    return { at: (demand, others, now) => limit.at(demand, others, now), shed: now => limit.shed(now), answered: (ms, rank, now) => limit.answered(ms, rank, now) }
  },
  isHeard: true
}
const alone = { ...shared, isHeard: false }
const four: typeof shared = { limit: () => ({ at: () => 4, shed: () => {}, answered: () => {} }), isHeard: false }

const ways = { shared, alone, four }
const loads = { calm: CALM, hot: HOT, flood: FLOOD }

for (const [load, streams] of Object.entries(loads)) {
  for (const [way, options] of Object.entries(ways)) {
    it(`${load} ${way}`, () => {
      const rs = [1, 2, 3].map(seed => OwnersModel.run({ owners: 7, streams, ...options, seed, endMs: END_MS }))
      const m = (f: (r: OwnersModel) => number) => (rs.reduce((s, r) => s + f(r), 0) / rs.length)
      const all = (r: OwnersModel, rank: number, part: number) => {
        const xs = [...r.took].filter(([k]) => k.endsWith(`/${rank}`) && !k.startsWith('hot') && !k.startsWith('flood')).flatMap(([, v]) => v).sort((a, b) => a - b)
        return xs[Math.floor(xs.length * part)]!
      }
      console.log(load, way, 'busy', m(r => r.busyWhileWaiting).toFixed(3), 'queued', m(r => r.queuedThere).toFixed(1), 'shed', m(r => r.shed), 'refused', m(r => r.refused).toFixed(0),
        ...[0, 1, 2].map(rank => `r${rank} ${m(r => all(r, rank, 0.5)).toFixed(0)}/${m(r => all(r, rank, 0.99)).toFixed(0)}`), 'hot', m(r => r.quantile('hot/1', 0.5)).toFixed(0), m(r => (r.took.get('hot/1') ?? []).length).toFixed(0))
    })
  }
}
describe('x', () => it('y', () => expect(1).toBe(1)))
