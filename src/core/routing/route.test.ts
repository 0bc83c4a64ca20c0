/** Guards against reads at endpoints that aren't proved to be fresh enough. */

import { describe, expect, it } from 'vitest'
import { Group } from '../group/group.ts'
import { Sample } from '../group/sample.ts'
import { TermHistory } from '../termhistory.ts'
import type { EndpointId } from '../id/endpoint.ts'
import type { GroupId } from '../id/group.ts'
import type { Instant } from '../id/instant.ts'
import type { Position } from '../id/position.ts'
import type { Term } from '../id/term.ts'
import { Token } from '../token.ts'
import { hasApplied } from './applied.ts'
import { Watermarks } from './watermarks.ts'
import { routeRead } from './route.ts'

type Change = Parameters<Sample['with']>[0]

const history = (...starts: ReadonlyArray<[number, number]>): TermHistory =>
  TermHistory.of(starts.map(([term, position]) => ({ term: term as Term, position: position as Position })))
const sample = (endpoint: string, applied: number, change: Change = {}): Sample => Sample.unknown(endpoint as EndpointId).with({
  reachable: true, term: 1 as Term, lastTerm: 1 as Term, history: history([1, 0]), received: applied as Position, applied: applied as Position, ...change
})
const group = (...samples: readonly Sample[]): Group =>
  samples.reduce((next, one) => next.with(one), Group.of('g' as GroupId, samples.map(one => one.endpoint)))
const primary = sample('p', 20, { role: 'primary' })
const forked = { role: 'primary', term: 2 as Term, history: history([1, 0], [2, 20]) } as const

/** Routes at instant 1000; the watermarks say that the primary was at 10 at 900 and at 20 at 990. */
const route = (of: Group, change: Partial<Parameters<typeof routeRead>[0]> = {}): string => {
  const result = routeRead({
    group: of,
    freshness: { kind: 'session' },
    token: Token.of(1, 10),
    watermarks: Watermarks.empty.with(Token.of(1, 10), 900 as Instant).with(Token.of(1, 20), 990 as Instant),
    near: new Set(),
    now: 1000 as Instant,
    chance: 0,
    since: 1000 as Instant,
    isRefreshed: true,
    isWriteNoticePending: false,
    ...change
  })
  if (result.kind === 'wait') return `wait ${result.ms}`
  if (result.kind === 'note') return `note ${result.ms}`
  return 'endpoint' in result ? `${result.kind} ${result.endpoint}` : result.kind
}

describe('routeRead', () => {
  it.each<[string, string, Group, Partial<Parameters<typeof routeRead>[0]>]>([
    ['a replica that has applied the session\'s writes', 'replica a', group(primary, sample('a', 10)), {}],
    ['a replica far behind', 'primary p', group(primary, sample('a', 9)), {}],
    ['a replica far behind, not sampled for this read yet', 'wait 0', group(primary, sample('a', 9)), { isRefreshed: false }],
    ['a replica a little behind', 'wait 10', group(primary, sample('a', 20)), { token: Token.of(1, 21) }],
    ['waited long enough', 'primary p', group(primary, sample('a', 20)), { token: Token.of(1, 21), since: 990 as Instant }],
    ['a write notice is missing', 'note 2', group(primary, sample('a', 9)), { isWriteNoticePending: true, since: 991 as Instant }],
    ['a write notice is overdue', 'primary p', group(primary, sample('a', 9)), { isWriteNoticePending: true, since: 990 as Instant }],
    ['a replica that can not be reached', 'primary p', group(primary, sample('a', 20, { reachable: false })), {}],
    ['a strict read', 'primary p', group(primary, sample('a', 20)), { freshness: { kind: 'strict' } }],
    ['an age that is proved', 'replica a', group(primary, sample('a', 10)), { freshness: { kind: 'age', ms: 100 } }],
    ['an age that is not proved', 'primary p', group(primary, sample('a', 10)), { freshness: { kind: 'age', ms: 99 } }],
    ['an age, own writes not applied', 'primary p', group(primary, sample('a', 10)), { freshness: { kind: 'age', ms: 100 }, token: Token.of(1, 11) }],
    ['a replica not aligned after a failover', 'primary p', group(sample('p', 20, forked), sample('a', 25)), {}],
    ['a replica aligned, no write since', 'replica a', group(sample('p', 20, forked), sample('a', 20, { history: forked.history })), { token: Token.of(2, 20) }],
    ['a write past the fork', 'lost', group(sample('p', 20, forked), sample('a', 25)), { token: Token.of(1, 21) }],
    ['no primary', 'none', group(sample('a', 9)), {}],
    ['the nearer of two', 'replica b', group(primary, sample('a', 10), sample('b', 10)), { near: new Set(['b' as EndpointId]) }],
    ['the nearer one has a queue', 'replica a', group(primary, sample('a', 10), sample('b', 10, { queued: 5 })), { near: new Set(['b' as EndpointId]) }],
    ['equals by chance', 'replica b', group(primary, sample('a', 10), sample('b', 10)), { chance: 0.9 }]
  ])('%s: %s', (_, expected, of, change) => {
    expect(route(of, change)).toBe(expected)
  })
})

describe('Watermarks', () => {
  it('never understates an age after it dropped entries', () => {
    const times = Array.from({ length: 1000 }, (_, i) => i + 1)
    const watermarks = times.reduce((all, i) => all.with(Token.of(1, i), i as Instant), Watermarks.empty)
    for (const applied of [1, 400, 800, 999, 1000]) {
      expect(watermarks.age(sample('a', applied), 1000 as Instant)).toBeGreaterThanOrEqual(1000 - applied)
    }
    expect(watermarks.age(sample('a', 0), 1000 as Instant)).toBe(Infinity)
  })
})

describe('hasApplied', () => {
  it.each([
    ['applied, same term', sample('a', 10), Token.of(1, 10), true],
    ['not applied', sample('a', 10), Token.of(1, 11), false],
    ['a newer term whose start the log does not know', sample('a', 25), Token.of(2, 21), false],
    ['a newer term, aligned, nothing written in it yet', sample('a', 20, { history: forked.history }), Token.of(2, 20), true],
    ['past the fork of an aligned log', sample('a', 25, { history: forked.history, lastTerm: 2 as Term }), Token.of(1, 21), false]
  ])('%s', (_, of, token, expected) => {
    expect(hasApplied(of, token)).toBe(expected)
  })
})
