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

/** `a1.2 3/4` is the second report of the first incarnation of the host a, with 3 at work and 4 waiting; `a1.2 -` one without load. */
function report (text: string) {
  const [, host, incarnation, sequence, atWork, waiting] = /^(\w)(\d+)\.(\d+) (?:(\d+)\/(\d+)|-)$/.exec(text)!
  const load: EndpointLoad = { endpoint: E, atWork: Number(atWork), waiting: Number(waiting), answerMs: 10 * Number(atWork), failing: 0 }
  return { incarnation: Number(incarnation), load: { host: host as HostId, group: 'g' as GroupId, sequence: Number(sequence), endpoints: atWork === undefined ? [] : [load] } }
}

/** Reports as `AT: REPORT`, received from the owners a, b and c. */
function reportsOf (...heard: string[]): OwnerReports {
  return heard.reduce((reports, line) => {
    const [at, text] = line.split(': ')
    return reports.with(report(text!), Number(at) as Instant)
  }, OwnerReports.empty.forOwners(['a', 'b', 'c'] as HostId[]))
}

/** Owners, at work, waiting. */
function shown (reports: OwnerReports, now: number): string {
  const { owners, atWork, waiting } = reports.at(E, now as Instant)
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
    ['without load count for the number of owners', ['0: a1.1 -'], 0, '1: 0/0'],
    ['of a host that isn\'t an owner change nothing', ['0: d1.1 3/4'], 0, '0: 0/0'],
    ['of the next incarnation replace the earlier ones', ['0: a1.9 3/4', '10: a2.1 1/0'], 10, '1: 1/0'],
    ['of an earlier incarnation change nothing', ['0: a2.1 1/0', '10: a1.9 3/4'], 10, '1: 1/0'],
    ['of an incarnation whose time of day was set back count once the others have expired', ['0: a2.1 1/0', '300: a1.1 3/4'], 300, '1: 3/4'],
    ['that an owner wrote before it hung are recognised by their sequence number', ['0: a1.8 1/0', '5000: a1.7 3/4'], 5000, '0: 0/0']
  ])('%s', (_, heard, now, expected) => expect(shown(reportsOf(...heard), now)).toBe(expected))

  it('yield the mean time of those that have one', () => {
    expect(reportsOf('0: a1.1 1/0', '0: b1.1 3/0', '0: c1.1 -').at(E, 0 as Instant)).toMatchObject({ answerMs: 20, failing: 0 })
  })

  it('of a host that is no longer an owner are dropped', () => {
    expect(shown(reportsOf('0: a1.1 3/4', '0: b1.1 1/0').forOwners(['b'] as HostId[]), 0)).toBe('1: 1/0')
  })

  // Statements must not be held back or sent elsewhere for load that has gone: an owner is killed or cut off with statements at work, and its last report
  // stays the newest.
  it('of an owner that went silent with load show this once', () => {
    const reports = reportsOf('0: a1.1 3/4', '0: b1.1 -')
    expect(reports.silent(299 as Instant)).toEqual([])
    expect(reports.silent(300 as Instant)).toEqual(['a'])
    const dropped = reports.withoutExpired(300 as Instant)
    expect(dropped.silent(400 as Instant)).toEqual([])
    expect(shown(dropped.with(report('a1.1 3/4'), 400 as Instant), 400)).toBe('0: 0/0')
  })
})

describe('a report', () => {
  it('reads as it was written', () => {
    const made = report('a1.2 3/4')
    expect(reportCodec.decode(reportCodec.encode(made))).toEqual(made)
  })

  it.each(['', '{}', '["a","g",1,2]', '["a","g",1,2,[["e",-1,0,null,0]]]', '["a","g",1,2,[["e",1,0,null,2]]]', '{"ask":1}'])('that is %s can\'t be decoded', text => expect(reportCodec.decode(text)).toBeUndefined())
})
