/** Guards against requests that reach a leaving endpoint after its drain time, and against giving it up before that. */

import { describe, expect, it } from 'vitest'
import type { EndpointId } from '../id/endpoint.ts'
import type { Instant } from '../id/instant.ts'
import { Departures } from './departures.ts'
import type { Endpoint } from './endpoint.ts'

const DRAIN_MS = 1000
const at = (ms: number) => ms as Instant
/** Endpoints by their ids, those that leave with a `-`, as in `a- b`. */
const listed = (text: string) => text.split(' ').map(one => ({ id: one[0], isLeaving: one.endsWith('-') }) as unknown as Endpoint)

/** The departures of a group with the primary `a` after changes such as `100 a- b` (time, endpoints) that may have been in the directory for `staleMs`. */
function departures (staleMs: number, ...changes: string[]): Departures {
  return changes.reduce((sum, text) => {
    const [ms, ...endpoints] = text.split(' ')
    return sum.directoryChanged(listed(endpoints.join(' ')), 'a' as EndpointId, staleMs, at(Number(ms)))
  }, Departures.create(DRAIN_MS))
}

describe('the drain time of an endpoint', () => {
  it.each<[string, number, string[], number, boolean]>([
    ['has no end for one that stays', 0, ['0 a b'], 60_000, false],
    ['goes on until shortly before its end', 0, ['0 a- b'], 899, false],
    ['is over in time for requests on their way', 0, ['0 a- b'], 900, true],
    ['starts with the announcement, whatever else changes', 0, ['0 a- b', '500 a- b c'], 900, true],
    ['counts from when the announcement may have been made', 200, ['200 a- b'], 900, true],
    ['counts as half over when that isn\'t known', Infinity, ['0 a- b'], 399, false],
    ['counts as half over for a host that was out of touch for long', 5000, ['0 a- b'], 400, true],
    ['ends for a primary whose entry is gone without notice', 200, ['0 a b', '200 b'], 900, true],
    ['goes on for a primary whose entry is gone', 0, ['0 a- b', '500 b'], 900, true],
    ['has no end for one that stays after all', 0, ['0 a- b', '500 a b'], 1500, false],
    ['starts anew when it announces again', 0, ['0 a- b', '500 a b', '800 a- b'], 1500, false]
  ])('%s', (_, staleMs, changes, ms, isOver) => {
    expect(departures(staleMs, ...changes).isOver('a' as EndpointId, at(ms))).toBe(isOver)
  })
})

// Guards against a group without a primary: nothing may be sent to one that is gone from the directory, and nobody replaces it since it answers.
describe('a primary that is gone from the directory', () => {
  it.each<[string, number, boolean]>([
    ['may be listed again', 599, false],
    ['is replaced in time before its drain time is over', 600, true]
  ])('%s', (_, ms, isDue) => expect(departures(0, '0 a b', '0 b').isReplacementDue('a' as EndpointId, at(ms))).toBe(isDue))
})
