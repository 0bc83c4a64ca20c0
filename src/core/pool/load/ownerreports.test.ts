/** Which reports of other owners count, and what they add up to. */

import { describe, expect, it } from 'vitest'
import type { EndpointId } from '../../id/endpoint.ts'
import type { GroupId } from '../../id/group.ts'
import type { HostId } from '../../id/host.ts'
import type { Instant } from '../../id/instant.ts'
import { OwnerReports } from './ownerreports.ts'
import type { EndpointLoad } from './endpointload.ts'
import { reportCodec } from './reportcodec.ts'

const E = 'e' as EndpointId

/** `a1.2 3/4` is the second report of the first life of the host a, with 3 at work and 4 waiting; `a1.2 -` of nothing. */
function report (text: string) {
  const [, host, life, number, atWork, waiting] = /^(\w)(\d+)\.(\d+) (?:(\d+)\/(\d+)|-)$/.exec(text)!
  const load: EndpointLoad = { endpoint: E, atWork: Number(atWork), waiting: Number(waiting), answerMs: 10 * Number(atWork), failing: 0 }
  return { incarnation: Number(life), load: { host: host as HostId, group: 'g' as GroupId, sequence: Number(number), endpoints: atWork === undefined ? [] : [load] } }
}

/** Reports as `AT: REPORT`, on a board of the owners a, b and c. */
function boardOf (...heard: string[]): OwnerReports {
  return heard.reduce((board, line) => {
    const [at, text] = line.split(': ')
    return board.with(report(text!), Number(at) as Instant)
  }, OwnerReports.empty.forOwners(['a', 'b', 'c'] as HostId[]))
}

/** Owners, at work, waiting. */
function shown (board: OwnerReports, now: number): string {
  const { owners, atWork, waiting } = board.at(E, now as Instant)
  return `${owners}: ${atWork}/${waiting}`
}

describe('reports of other owners', () => {
  it.each<[string, string[], number, string]>([
    ['are none at first', [], 0, '0: 0/0'],
    ['add up', ['0: a1.1 3/4', '0: b1.1 1/0'], 0, '2: 4/4'],
    ['replace the one before', ['0: a1.1 3/4', '100: a1.2 1/0'], 100, '1: 1/0'],
    ['that were overtaken change nothing', ['0: a1.2 1/0', '0: a1.1 3/4'], 0, '1: 1/0'],
    ['count for three periods', ['0: a1.1 3/4'], 299, '1: 3/4'],
    ['and then no more', ['0: a1.1 3/4'], 300, '0: 0/0'],
    ['of no load are of an owner too', ['0: a1.1 -'], 0, '1: 0/0'],
    ['of a host that is no owner change nothing', ['0: d1.1 3/4'], 0, '0: 0/0'],
    ['of its next life begin anew', ['0: a1.9 3/4', '10: a2.1 1/0'], 10, '1: 1/0'],
    ['of its life before come too late', ['0: a2.1 1/0', '10: a1.9 3/4'], 10, '1: 1/0'],
    ['of a life whose time of day was set back count once the other is silent', ['0: a2.1 1/0', '300: a1.1 3/4'], 300, '1: 3/4'],
    ['that an owner wrote before it stood still are known by their number', ['0: a1.8 1/0', '5000: a1.7 3/4'], 5000, '0: 0/0']
  ])('%s', (_, heard, now, expected) => expect(shown(boardOf(...heard), now)).toBe(expected))

  it('show the mean time of those that know one', () => {
    expect(boardOf('0: a1.1 1/0', '0: b1.1 3/0', '0: c1.1 -').at(E, 0 as Instant)).toMatchObject({ answerMs: 20, failing: 0 })
  })

  it('of an owner that is none any more are dropped with it', () => {
    expect(shown(boardOf('0: a1.1 3/4', '0: b1.1 1/0').forOwners(['b'] as HostId[]), 0)).toBe('1: 1/0')
  })

  // Statements are held back, or sent elsewhere, for load that isn't there any more.
  // An owner is killed or cut off with statements at work; its last report stays the newest.
  it('of an owner that went silent with load tell so once', () => {
    const board = boardOf('0: a1.1 3/4', '0: b1.1 -')
    expect(board.silent(299 as Instant)).toEqual([])
    expect(board.silent(300 as Instant)).toEqual(['a'])
    const dropped = board.withoutExpired(300 as Instant)
    expect(dropped.silent(400 as Instant)).toEqual([])
    expect(shown(dropped.with(report('a1.1 3/4'), 400 as Instant), 400)).toBe('0: 0/0')
  })
})

describe('a report', () => {
  it('reads as it was written', () => {
    const made = report('a1.2 3/4')
    expect(reportCodec.decode(reportCodec.encode(made))).toEqual(made)
  })

  it.each(['', '{}', '["a","g",1,2]', '["a","g",1,2,[["e",-1,0,null,0]]]', '["a","g",1,2,[["e",1,0,null,2]]]', '{"ask":1}'])('that is %s can\'t be read', text => expect(reportCodec.decode(text)).toBeUndefined())
})
