/** Guards against reads that break their freshness over random orders of writes, failovers and evictions. */

import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { FakeGroup } from '../../../standin/fakegroup.ts'
import type { Freshness } from './freshness.ts'

/*
 * Requests of a session go through any proxy. Replicas receive and apply at random times, primaries are cut off and replaced, proxies
 * restart, and write notices are late or lost. It's a failure if a read misses the session's acknowledged write, a strict read
 * misses any write, an age isn't kept, or a replica shows a write that a failover has dropped.
 */

type Event = (group: FakeGroup) => void

const SESSIONS = ['s1', 's2', 's3'] as const
const session = fc.constantFrom(...SESSIONS)
const server = fc.nat(2)
const proxy = fc.nat(1)
const freshness = fc.constantFrom<Freshness>({ kind: 'strict' }, { kind: 'session' }, { kind: 'age', ms: 5 }, { kind: 'age', ms: 40 })
const event: fc.Arbitrary<Event> = fc.oneof(
  { weight: 6, arbitrary: fc.tuple(session, server, server).map(([who, at, second]): Event => group => group.write(who, at, second)) },
  { weight: 3, arbitrary: server.map((at): Event => group => group.receive(at)) },
  { weight: 4, arbitrary: fc.tuple(server, fc.nat(4)).map(([at, count]): Event => group => group.apply(at, count)) },
  { weight: 8, arbitrary: fc.tuple(proxy, server).map(([at, of]): Event => group => group.sample(at, of)) },
  { weight: 6, arbitrary: fc.tuple(proxy, fc.nat(4), fc.nat(5)).map(([at, count, luck]): Event => group => group.notes(at, count, luck === 0)) },
  { weight: 1, arbitrary: fc.constant<Event>(group => group.failOver()) },
  { weight: 1, arbitrary: fc.constant<Event>(group => group.rejoin()) },
  { weight: 1, arbitrary: proxy.map((at): Event => group => group.restart(at)) },
  { weight: 12, arbitrary: fc.tuple(proxy, session, freshness, fc.boolean()).map(([at, who, how, bringsToken]): Event => group => group.read(at, who, how, bringsToken)) }
)

describe('reads over random orders of events', () => {
  it('keep their freshness', () => {
    const served = { replica: 0, primary: 0 }
    fc.assert(fc.property(fc.array(event, { minLength: 20, maxLength: 120, size: 'max' }), events => {
      const group = new FakeGroup()
      for (const applyEvent of events) {
        group.now++
        applyEvent(group)
      }
      served.replica += group.served.replica
      served.primary += group.served.primary
    }), { seed: 20261202, numRuns: 20_000 })
    expect(served.replica).toBeGreaterThan(10_000)
    expect(served.primary).toBeGreaterThan(10_000)
  })
})
