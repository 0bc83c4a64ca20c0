/** The state of hosts from a lagging list and from silence. */

import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { DataCentreId } from '../id/datacentre.ts'
import type { EndpointId } from '../id/endpoint.ts'
import type { HostId } from '../id/host.ts'
import type { Instant } from '../id/instant.ts'
import type { MembershipEvent } from './event.ts'
import type { Host } from './host.ts'
import { Members } from './members.ts'

const pace = { suspectMs: 1500, goneMs: 3000 }
const a = 'a' as HostId
const b = 'b' as HostId
const e1 = 'e1' as EndpointId
const host = (id: HostId, state: Host['state'] = 'live'): Host => ({ id, peers: '', dataCentre: 'dc' as DataCentreId, state })
const listed = (...hosts: Host[]): MembershipEvent => ({ kind: 'listed', hosts })
const watched: MembershipEvent = { kind: 'watched', host: b }
const heard = (incarnation = '1'): MembershipEvent => ({ kind: 'heard', host: b, incarnation })
const held = (isLeaving = false): MembershipEvent => ({ kind: 'held', host: b, endpoints: [e1], isLeaving })
const lost: MembershipEvent = { kind: 'lost', host: b }

/** The members after the events, each at its time. */
function after (...steps: readonly (readonly [number, MembershipEvent])[]): Members {
  const members = Members.create(a, pace)
  for (const [at, event] of steps) members.apply(event, at as Instant)
  return members
}

describe('the state of a host', () => {
  it.each<[string, readonly (readonly [number, MembershipEvent])[], number, string]>([
    ['one that nobody watches is as the list says', [[0, listed(host(b))]], 99_999, 'live'],
    ['one that the list shows as leaving is', [[0, listed(host(b, 'leaving'))]], 0, 'leaving'],
    ['one that was never listed is gone', [[0, listed(host(a))], [0, watched], [0, heard()]], 0, 'gone'],
    ['one that is listed but dead is noticed by its silence', [[0, listed(host(b))], [0, watched]], 3000, 'gone'],
    ['a silence is suspected first', [[0, listed(host(b))], [0, watched], [100, heard()], [1600, lost]], 1600, 'suspect'],
    ['one that talks again is live', [[0, listed(host(b))], [0, watched], [4000, heard()]], 4000, 'live'],
    ['one that says it leaves is leaving, whatever the list says', [[0, listed(host(b))], [0, watched], [0, heard()], [0, held(true)], [1, listed(host(b))]], 1, 'leaving'],
    ['one that left and whose link ended is gone at once', [[0, listed(host(b))], [0, watched], [0, heard()], [0, held(true)], [1, lost]], 1, 'gone'],
    ['its next incarnation is live', [[0, listed(host(b))], [0, watched], [0, heard()], [0, held(true)], [1, lost], [2, heard('2')]], 2, 'live'],
    ['one that the list lost while it talks is live', [[0, listed(host(b))], [0, watched], [0, heard()], [1, listed()]], 1, 'live'],
    ['one that the list lost and that is silent is gone', [[0, listed(host(b))], [0, watched], [0, heard()], [1, listed()], [2, lost]], 2, 'gone']
  ])('%s', (_, steps, now, state) => {
    expect(after(...steps).state(b, now as Instant)).toBe(state)
  })

  it('is this process\'s own until it leaves', () => {
    const self = after([0, listed(host(a))])
    expect(self.state(a, 99_999 as Instant)).toBe('live')
    self.apply({ kind: 'leaving' }, 0 as Instant)
    expect(self.state(a, 0 as Instant)).toBe('leaving')
  })
})

describe('what a host holds', () => {
  const linked = [[0, listed(host(b))], [0, watched], [0, heard()], [0, held()]] as const

  it('is known while it talks and through a short silence', () => {
    expect(after(...linked, [10, lost]).holders(e1, 2000 as Instant)).toEqual([b])
  })

  it('is free when the host is gone', () => {
    expect(after(...linked, [10, lost]).holders(e1, 3000 as Instant)).toEqual([])
  })

  // A proxy is killed and started again at once on the same host. Its peers never miss it; if they kept what the
  // old process held, its slots would count as taken by a process that doesn't have them, and nobody would serve them.
  it('went with the incarnation that held it', () => {
    const restarted = after(...linked, [10, heard('2')])
    expect(restarted.holders(e1, 10 as Instant)).toEqual([])
    expect(restarted.hasUnreportedSlots(b, 10 as Instant)).toBe(true)
  })
})

describe('any order of events', () => {
  const event = fc.oneof(
    fc.constantFrom<MembershipEvent>(listed(), listed(host(b)), listed(host(a), host(b, 'leaving')), heard('1'), heard('2'), held(), held(true), lost),
    fc.constant<MembershipEvent>(watched))
  const history = fc.array(fc.tuple(fc.integer({ min: 0, max: 1000 }), event), { maxLength: 30 })

  it('counts a watched host that was silent for long as gone, and one that was just heard as there', () => {
    fc.assert(fc.property(history, steps => {
      let now = 0
      const timed = steps.map(([ms, one]): [number, MembershipEvent] => {
        now += ms
        return [now, one]
      })
      const members = after([0, listed(host(b))], [0, watched], ...timed)
      expect(members.state(b, now + pace.goneMs as Instant)).toBe('gone')
      for (const one of [listed(host(b)), watched, heard('3')]) members.apply(one, now as Instant)
      expect(members.state(b, now as Instant)).toBe('live')
      expect(members.holders(e1, now as Instant)).toEqual([])
    }), { seed: 7, numRuns: 500 })
  })
})
