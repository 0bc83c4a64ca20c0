import { describe, expect, it } from 'vitest'
import { parseScript } from './parse.ts'

const parse = (text: string): ReturnType<typeof parseScript> => parseScript(text)

describe('parseScript', () => {
  it.each<[string, unknown]>([
    ['at 2s cut shop-1 from group', { at: 2000, fault: { kind: 'cut', some: 'shop-1', others: 'group' } }],
    ['at 3s kill proxy host-2', { at: 3000, fault: { kind: 'kill', place: 'host-2' } }],
    ['at 1.5s restart hosts', { at: 1500, fault: { kind: 'restart', place: 'hosts' } }],
    ['at 250ms freeze host-3 for 4s # paused', { at: 250, fault: { kind: 'freeze', place: 'host-3', ms: 4000 } }],
    ['at 1s lag shop-replicas 3s', { at: 1000, fault: { kind: 'lag', place: 'shop-replicas', ms: 3000 } }],
    ['at 1s silence hosts to shop', { at: 1000, fault: { kind: 'silence', some: 'hosts', others: 'shop' } }],
    ['at 1s store losing answers', { at: 1000, fault: { kind: 'store', mode: 'losing answers', ms: 0 } }],
    ['at 1s patch by 2 operators', { at: 1000, fault: { kind: 'patch', operators: 2 } }]
  ])('%s', (line, expected) => {
    expect(parse(line)._unsafeUnwrap().faults).toEqual([expected])
  })

  it('sorts faults by time and ends a span of the store', () => {
    const { faults } = parse('from 2s to 8s store slow 3s\nat 1s heal')._unsafeUnwrap()
    expect(faults.map(one => [one.at, one.fault.kind])).toEqual([[1000, 'heal'], [2000, 'store'], [8000, 'store']])
  })

  it('reads a load and expectations', () => {
    const script = parse('from 0s to 10s load writes 50/s aged 20/s 500ms sessions 20 roaming\nexpect no breach\nexpect replica share > 60%\nexpect gap < 3s')._unsafeUnwrap()
    expect(script.loads[0]).toMatchObject({ from: 0, to: 10_000, writes: 50, reads: 0, aged: 20, ageMs: 500, sessions: 20, isRoaming: true })
    expect(script.expectations.map(one => [one.figure, one.operator, one.value])).toEqual([['breaches', '=', 0], ['replica share', '>', 0.6], ['gap', '<', 3000]])
  })

  it.each<[string, string]>([
    ['at 2 cut shop-1 from group', '1:4: "2" isn\'t a duration; write a number and a unit, such as 250ms or 1.5s'],
    ['hosts 7\nat 2s cutt shop-1 from group', '2:7: "cutt" isn\'t known here; write cut or silence or heal or kill or restart or freeze or lag or store or patch'],
    ['at 2s cut shop-1', '1:17: "the end of the line" isn\'t known here; write from'],
    ['at 2s cut Shop from all', '1:11: "Shop" doesn\'t fit here; write a place such as host-2, shop-1, shop-primary, data-centre-a or all'],
    ['from 0s to 1s load writes 50', '1:27: "50" doesn\'t fit here; write a rate such as 50/s'],
    ['from 2s to 1s store down', '1:15: the span ends before it begins; write the earlier time first'],
    ['expect gap < 60%', '1:14: "60%" isn\'t a duration; write a number and a unit, such as 250ms or 1.5s'],
    ['expect no breach today', '1:18: "today" is too much; end the line before it']
  ])('%j is wrong at %s', (text, message) => {
    expect(parse(text)._unsafeUnwrapErr().message).toBe(message)
  })
})
