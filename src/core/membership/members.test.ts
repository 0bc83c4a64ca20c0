/** The state of hosts, from a lagging list and from silence. */

import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { DataCentreId } from '../id/datacentre.ts'
import type { EndpointId } from '../id/endpoint.ts'
import type { HostId } from '../id/host.ts'
import type { Instant } from '../id/instant.ts'
import type { MembershipEvent } from './event.ts'
import type { Host } from './host.ts'
import { Members } from './members.ts'

const timings = { suspectMs: 1500, goneMs: 3000 }
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
  const members = Members.create(a, timings)
  for (const [at, event] of steps) members.apply(event, at as Instant)
  return members
}

describe('the state of a host', () => {
  it.each<[string, readonly (readonly [number, MembershipEvent])[], number, string]>([
    ['an unwatched host has the state of the list', [[0, listed(host(b))]], 99_999, 'live'],
    ['a host that the list shows as leaving is leaving', [[0, listed(host(b, 'leaving'))]], 0, 'leaving'],
    ['a host that was never listed is gone', [[0, listed(host(a))], [0, watched], [0, heard()]], 0, 'gone'],
    ['a listed host that failed is noticed by its silence', [[0, listed(host(b))], [0, watched]], 3000, 'gone'],
    ['a silent host is suspected first', [[0, listed(host(b))], [0, watched], [100, heard()], [1600, lost]], 1600, 'suspect'],
    ['a host that sends again is live', [[0, listed(host(b))], [0, watched], [4000, heard()]], 4000, 'live'],
    ['a host that says it leaves is leaving, whatever the list says', [[0, listed(host(b))], [0, watched], [0, heard()], [0, held(true)], [1, listed(host(b))]], 1, 'leaving'],
    ['a host that left and whose link ended is gone at once', [[0, listed(host(b))], [0, watched], [0, heard()], [0, held(true)], [1, lost]], 1, 'gone'],
    ['the next incarnation of a host that left is live', [[0, listed(host(b))], [0, watched], [0, heard()], [0, held(true)], [1, lost], [2, heard('2')]], 2, 'live'],
    ['a host that the list lost while it sends is live', [[0, listed(host(b))], [0, watched], [0, heard()], [1, listed()]], 1, 'live'],
    ['a host that the list lost and that is silent is gone', [[0, listed(host(b))], [0, watched], [0, heard()], [1, listed()], [2, lost]], 2, 'gone']
  ])('%s', (_, steps, now, state) => {
    expect(after(...steps).state(b, now as Instant)).toBe(state)
  })

  it('is that of the list for this process itself until it leaves', () => {
    const self = after([0, listed(host(a))])
    expect(self.state(a, 99_999 as Instant)).toBe('live')
    self.apply({ kind: 'leaving' }, 0 as Instant)
    expect(self.state(a, 0 as Instant)).toBe('leaving')
  })
})

describe('what a host holds', () => {
  const linked = [[0, listed(host(b))], [0, watched], [0, heard()], [0, held()]] as const

  it('is known while it sends and during a short silence', () => {
    expect(after(...linked, [10, lost]).holders(e1, 2000 as Instant)).toEqual([b])
  })

  it('is free when the host is gone', () => {
    expect(after(...linked, [10, lost]).holders(e1, 3000 as Instant)).toEqual([])
  })

  // Guards against slots that nobody serves: a process that restarts at once isn't missed by its peers, which must not
  // keep what the old process held.
  it('ends with the incarnation that held it', () => {
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

  it('leaves a watched host gone after a long silence, and live right after a message', () => {
    fc.assert(fc.property(history, steps => {
      let now = 0
      const timed = steps.map(([ms, one]): [number, MembershipEvent] => {
        now += ms
        return [now, one]
      })
      const members = after([0, listed(host(b))], [0, watched], ...timed)
      expect(members.state(b, now + timings.goneMs as Instant)).toBe('gone')
      for (const one of [listed(host(b)), watched, heard('3')]) members.apply(one, now as Instant)
      expect(members.state(b, now as Instant)).toBe('live')
      expect(members.holders(e1, now as Instant)).toEqual([])
    }), { seed: 7, numRuns: 500 })
  })
})
