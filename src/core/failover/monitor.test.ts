/** The ballot, the monitor and the failure detector by themselves. */

import { describe, expect, it } from 'vitest'
import { Group } from '../group/group.ts'
import { Sample } from '../group/sample.ts'
import { TermHistory } from '../termhistory.ts'
import type { EndpointId } from '../id/endpoint.ts'
import type { GroupId } from '../id/group.ts'
import type { Instant } from '../id/instant.ts'
import type { Position } from '../id/position.ts'
import type { Term } from '../id/term.ts'
import { Ballot } from './ballot.ts'
import type { FailoverEvent } from './event.ts'
import { Monitor } from './monitor.ts'
import { FailureDetector } from './failuredetector.ts'

const TIMINGS = { misses: 2, quietMs: 250, orphanMs: 1000, stallMs: 800, rankDelayMs: 150, roundMs: 500, jitterMs: 100 }
const IDS = ['e1', 'e2', 'e3'] as EndpointId[]
const at = (ms: number): Instant => ms as Instant

function sample (id: string, role: Sample['role'], term: number, received = 0, starts: readonly [number, number][] = []): Sample {
  return Sample.unknown(id as EndpointId).with({
    role,
    term: term as Term,
    received: received as Position,
    history: TermHistory.of(starts.map(([term, position]) => ({ term: term as Term, position: position as Position }))),
    reachable: true
  })
}

/** The actions of the last event, as `kind endpoint term`. */
function actionsAfter (events: readonly [number, FailoverEvent][]): readonly string[] {
  let monitor = Monitor.create(Group.of('shop' as GroupId, IDS), IDS[0]!, 0, TIMINGS, at(0))
  let last: readonly string[] = []
  for (const [ms, event] of events) {
    const step = monitor.step(event, at(ms), 0)
    monitor = step.monitor
    last = step.actions.map(action => `${action.kind} ${'endpoint' in action ? action.endpoint : ''} ${'term' in action ? action.term : ''}`.trim())
  }
  return last
}

const answers = (ms: number): [number, FailoverEvent][] =>
  IDS.map(id => [ms, { kind: 'sampled', sample: sample(id, 'replica', 0) }])

describe('Ballot', () => {
  // Guards against losing confirmed writes: term 4 confirmed the entries of e3 and failed before its first write,
  // while e2 ends in an entry of term 3 that was never confirmed.
  it('prefers a log confirmed in a newer term to one that ends in a newer entry', () => {
    const confirmed = sample('e3', 'sealed', 5, 8, [[1, 0], [2, 5], [4, 8]]).with({ lastTerm: 2 as Term })
    const loser = sample('e2', 'sealed', 5, 9, [[1, 0], [2, 5], [3, 6]]).with({ lastTerm: 3 as Term })
    expect(Ballot.empty.withSeal(loser).withSeal(confirmed).candidate()!.endpoint).toBe('e3')
  })

  it.each([
    ['e2', 'e1', 'of equal logs, one that stays'],
    ['e1', 'e2', 'of equal logs, one that stays']
  ])('with %s leaving takes %s (%s)', (leaving, best) => {
    const ballot = Ballot.empty.withSeal(sample('e1', 'sealed', 2, 8)).withSeal(sample('e2', 'sealed', 2, 8))
    expect(ballot.candidate(leaving as EndpointId)!.endpoint).toBe(best)
  })
})

describe('Monitor', () => {
  const withoutPrimary: [number, FailoverEvent][] = [[1000, { kind: 'tick' }], [1001, { kind: 'tick' }], ...answers(1002)]

  it('seals once all have answered and none is primary', () => {
    expect(actionsAfter(withoutPrimary)).toEqual(['seal e1 1', 'seal e2 1', 'seal e3 1'])
  })

  // Guards against a late seal of a lost round, which would stop the primary of the next round if that had the same term.
  it('never asks twice for votes in one term', () => {
    expect(actionsAfter([...withoutPrimary, [1600, { kind: 'tick' }], [1700, { kind: 'tick' }], ...answers(1701)]))
      .toEqual(['seal e1 2', 'seal e2 2', 'seal e3 2'])
  })

  // One server voted for another monitor; the other two are a majority.
  it('goes on after one refusal', () => {
    const sealed = (id: string): FailoverEvent => ({ kind: 'sealed', term: 1 as Term, sample: sample(id, 'sealed', 1) })
    expect(actionsAfter([
      ...withoutPrimary,
      [1003, { kind: 'refused', endpoint: 'e1' as EndpointId, term: 1 as Term }],
      [1004, sealed('e2')],
      [1005, sealed('e3')]
    ])).toEqual(['promote e2 1'])
  })

  // Guards against replacing a healthy primary after this host was cut off: the misses of that time say nothing about
  // the primary, and replicas may answer just before it does.
  it('waits for the primary\'s answer after a round that reached no majority', () => {
    const missed = (ms: number): [number, FailoverEvent][] => IDS.map(id => [ms, { kind: 'missed', endpoint: id }])
    const ticks = (...times: number[]): [number, FailoverEvent][] => times.map(ms => [ms, { kind: 'tick' }])
    const healed: [number, FailoverEvent][] = [
      [0, { kind: 'sampled', sample: sample('e3', 'primary', 1) }],
      ...ticks(1000, 2000), ...missed(2150), ...ticks(2500, 3000), ...missed(3150), ...ticks(3500, 4000),
      [4001, { kind: 'sampled', sample: sample('e1', 'replica', 1) }],
      [4002, { kind: 'sampled', sample: sample('e2', 'replica', 1) }]
    ]
    expect(actionsAfter(healed)).toEqual([])
    expect(actionsAfter([...healed, [4150, { kind: 'missed', endpoint: IDS[2]! }]])).toEqual(['seal e1 2', 'seal e2 2', 'seal e3 2'])
  })

  // Guards against replacing a healthy primary whose answers are late on this host's own link.
  it('seals nothing when the primary answers after the survey began', () => {
    const suspected: [number, FailoverEvent][] = [
      ...IDS.map((id): [number, FailoverEvent] => [0, { kind: 'sampled', sample: sample(id, id === 'e3' ? 'primary' : 'replica', 1) }]),
      [300, { kind: 'missed', endpoint: IDS[2]! }],
      [600, { kind: 'missed', endpoint: IDS[2]! }]
    ]
    expect(actionsAfter(suspected)).toEqual(['probe e1', 'probe e2', 'probe e3'])
    const replicas = ['e1', 'e2'].map((id): [number, FailoverEvent] => [602, { kind: 'sampled', sample: sample(id, 'replica', 1) }])
    expect(actionsAfter([...suspected, ...replicas])).toEqual(['seal e1 2', 'seal e2 2', 'seal e3 2'])
    expect(actionsAfter([...suspected, [601, { kind: 'sampled', sample: sample('e3', 'primary', 1) }], ...replicas])).toEqual([])
    expect(actionsAfter([...suspected, [601, { kind: 'learnt', sample: sample('e3', 'primary', 1) }], ...replicas])).toEqual([])
  })
})

describe('FailureDetector', () => {
  const now = at(100)
  const detector = FailureDetector.create(Group.of('shop' as GroupId, IDS), TIMINGS, at(0)).withSample(sample('e1', 'primary', 3), now)

  it.each([
    ['of a lower term', sample('e1', 'primary', 2), 'primary 3'],
    ['of the seal before its promotion', sample('e1', 'sealed', 3), 'primary 3'],
    ['of a newer term', sample('e1', 'sealed', 4), 'sealed 4']
  ])('a sample that is reported late, %s', (_, late, expected) => {
    const known = detector.withReport(late, now).group.sample(IDS[0]!)!
    expect(`${known.role} ${known.term}`).toBe(expected)
  })
})
