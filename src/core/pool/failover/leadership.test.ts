/** Who is taken for the primary, as the directory, refusals and proofs say. */

import { describe, expect, it } from 'vitest'
import { Directory } from '../../directory/directory.ts'
import type { DataCentreId } from '../../id/datacentre.ts'
import type { EndpointId } from '../../id/endpoint.ts'
import type { GroupId } from '../../id/group.ts'
import type { Instant } from '../../id/instant.ts'
import { Leadership } from './leadership.ts'

const GROUP = 'g' as GroupId

/** Plays texts as `leader` does, one a millisecond; how long nobody has led at the time. */
function leaderlessMs (now: number, ...texts: string[]): number {
  return play(texts).leaderlessMs(now as Instant)
}

function leader (...texts: string[]): EndpointId | undefined {
  return play(texts).leader
}

/** Plays texts such as `a+` (a calls itself primary), `a-` (a replica), `a-2` (the same in its second life), `a!` (a refused), `a=3` (a proved term 3), `a.` (a is gone). */
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
  // Writes are refused for as long as replicas come and go in the directory, although nobody leads.
  // The primary refuses; entries of other endpoints change; each change began the time anew, and nobody was looked for.
  it.each<[string, string[], number, number]>([
    ['there is one', ['a+'], 1000, 0],
    ['since it refused', ['a+', 'b-', 'a!'], 1002, 1000],
    ['other entries change meanwhile', ['a+', 'b-', 'a!', 'c-', 'b.'], 1002, 1000]
  ])('%s', (_, texts, now, expected) => expect(leaderlessMs(now, ...texts)).toBe(expected))
})

describe('the leader', () => {
  it.each<[string, string[], string | undefined]>([
    ['nobody is listed', [], undefined],
    ['the one that says so', ['a+', 'b-'], 'a'],
    ['the later of two that say so', ['a+', 'b-', 'b+'], 'b'],
    ['the old one refuses before the new one is listed', ['a+', 'b-', 'a!'], undefined],
    ['the new one is listed after the refusal', ['a+', 'b-', 'a!', 'b+'], 'b'],
    // Writes go to a replaced primary for seconds: it's cut off from the directory, where its entry says primary still.
    ['an old entry of one that refused', ['a+', 'b-', 'a!', 'c-'], undefined],
    ['one that refused and then is promoted again', ['a+', 'a!', 'a-', 'a+'], 'a'],
    // Writes are refused though the primary is listed: it was started again under its id, and its refusal of the life before still counts.
    ['one that refused, and says so in its second life', ['a+', 'b-', 'a!', 'a+2'], 'a'],
    ['one that refused, and is a replica in its second life', ['a+', 'b-', 'a!', 'a-2'], undefined],
    ['a proof while the directory is silent', ['a+', 'b-', 'b=2'], 'b'],
    ['a proof of an older term', ['a+', 'a=3', 'b=2'], 'a'],
    ['the leader\'s entry lapses with nobody else listed', ['a+', 'b-', 'a.'], 'a'],
    // Hosts refuse writes for up to eight seconds, though the primary is well and listed all the while.
    // The old primary was cut off from the directory and replaced; it's back, and its first entry still says primary.
    ['a replaced one that comes back and still says so', ['a+', 'b-', 'b+', 'a.', 'a+'], 'b'],
    ['the same after a proof of the new one', ['a+', 'b-', 'b=2', 'b+', 'a.', 'a+'], 'b'],
    ['the same, listed as a replica first, and then promoted again', ['a+', 'b-', 'b+', 'a.', 'a-', 'a+'], 'a'],
    ['a replaced one that proves a newer term', ['a+', 'b-', 'b=2', 'a=3'], 'a'],
    ['one that refuses while another is listed', ['a+', 'b-', 'b+', 'a=3', 'a!'], 'b'],
    ['one whose entry says that it stopped, while another is listed', ['a+', 'b+', 'a=3', 'a-'], 'b'],
    ['the one listed refuses, and the one that led before is the last resort', ['a+', 'b+', 'b!'], 'a']
  ])('%s', (_, texts, expected) => expect(leader(...texts)).toBe(expected))
})
