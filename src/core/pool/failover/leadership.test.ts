/** Guards against writes that go to a former primary, or are refused although a primary is listed. */

import { describe, expect, it } from 'vitest'
import { Directory } from '../../directory/directory.ts'
import type { DataCentreId } from '../../id/datacentre.ts'
import type { EndpointId } from '../../id/endpoint.ts'
import type { GroupId } from '../../id/group.ts'
import type { Instant } from '../../id/instant.ts'
import { Leadership } from './leadership.ts'

const GROUP = 'g' as GroupId

/** Milliseconds without a leader at the time, after the observations of `play`. */
function leaderlessMs (now: number, ...texts: string[]): number {
  return play(texts).leaderlessMs(now as Instant)
}

function leader (...texts: string[]): EndpointId | undefined {
  return play(texts).leader
}

/** Applies observations, one a millisecond: `a+` (a is listed as primary), `a-` (as replica), `a-2` (as replica after a restart), `a!` (a refused), `a=3` (a proved term 3), `a.` (a is no longer listed). */
function play (texts: readonly string[]): Leadership {
  let directory = Directory.empty
  let leadership = Leadership.create(GROUP, 0 as Instant)
  texts.forEach((text, i) => {
    const id = text[0] as EndpointId
    const before = directory
    const [, sign, term] = text
    if (sign === '!') leadership = leadership.refused(id, i as Instant)
    else if (sign === '=') leadership = leadership.proved(id, Number(term))
    else {
      directory = sign === '.' ? directory.without(id) : directory.with({ id, group: GROUP, address: { ip: '10.0.0.1', port: 1 }, dataCentre: 'z' as DataCentreId, isLeaving: false, isPrimary: sign === '+', startedAtMs: Number(term ?? 1) }, i + 1)
      leadership = leadership.directoryChanged(before, directory)
    }
  })
  return leadership
}

describe('the time without a leader', () => {
  // Changes to other entries must not restart the time, or no host would search for a new primary.
  it.each<[string, string[], number, number]>([
    ['is 0 while there is one', ['a+'], 1000, 0],
    ['counts from the refusal', ['a+', 'b-', 'a!'], 1002, 1000],
    ['goes on when other entries change', ['a+', 'b-', 'a!', 'c-', 'b.'], 1002, 1000]
  ])('%s', (_, texts, now, expected) => expect(leaderlessMs(now, ...texts)).toBe(expected))
})

describe('the leader', () => {
  it.each<[string, string[], string | undefined]>([
    ['none while none is listed', [], undefined],
    ['the listed primary', ['a+', 'b-'], 'a'],
    ['the later of two listed primaries', ['a+', 'b-', 'b+'], 'b'],
    ['none when the old one refuses before the new one is listed', ['a+', 'b-', 'a!'], undefined],
    ['the new one, listed after the refusal', ['a+', 'b-', 'a!', 'b+'], 'b'],
    // The replaced primary is cut off from the directory, whose entry still calls it primary.
    ['not one that refused and whose entry is outdated', ['a+', 'b-', 'a!', 'c-'], undefined],
    ['one that refused and is promoted again', ['a+', 'a!', 'a-', 'a+'], 'a'],
    // A refusal before a restart doesn't count afterwards.
    ['one that refused and is listed as primary after a restart', ['a+', 'b-', 'a!', 'a+2'], 'a'],
    ['not one that refused and is a replica after a restart', ['a+', 'b-', 'a!', 'a-2'], undefined],
    ['one that proves a newer term before it is listed', ['a+', 'b-', 'b=2'], 'b'],
    ['not one that proves an older term', ['a+', 'a=3', 'b=2'], 'a'],
    ['the leader whose entry expired while no other is listed', ['a+', 'b-', 'a.'], 'a'],
    // The old primary was cut off from the directory and replaced; when it comes back, its first entry still says primary.
    ['not a replaced one that comes back with an outdated entry', ['a+', 'b-', 'b+', 'a.', 'a+'], 'b'],
    ['not a replaced one that comes back, after the new one proved its term', ['a+', 'b-', 'b=2', 'b+', 'a.', 'a+'], 'b'],
    ['a replaced one that was listed as a replica and then promoted again', ['a+', 'b-', 'b+', 'a.', 'a-', 'a+'], 'a'],
    ['a replaced one that proves a newer term', ['a+', 'b-', 'b=2', 'a=3'], 'a'],
    ['another listed primary when the leader refuses', ['a+', 'b-', 'b+', 'a=3', 'a!'], 'b'],
    ['another listed primary when the leader is listed as a replica', ['a+', 'b+', 'a=3', 'a-'], 'b'],
    ['a former leader, when the only other listed primary refuses', ['a+', 'b+', 'b!'], 'a']
  ])('%s', (_, texts, expected) => expect(leader(...texts)).toBe(expected))
})
