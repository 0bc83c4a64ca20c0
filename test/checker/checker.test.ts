/** The checker on histories with each breach planted, and on correct ones. */

import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { Call } from './call.ts'
import { checkHistory } from './checker.ts'
import { partOf } from './part.ts'
import { explanationOf } from './explanation.ts'

type Write = Extract<Call, { kind: 'write' }>
type Read = Extract<Call, { kind: 'read' }>
type Commit = Extract<Call, { kind: 'commit' }>

const base = { id: 0, session: 's1', host: 'host-1', group: 'shop', outcome: 'done' } as const

function write (value: string, from: number, change: Partial<Write> = {}): Write {
  return { ...base, kind: 'write', key: 'k', value, from, to: from + 10, ...change }
}

function read (values: readonly string[], from: number, change: Partial<Read> = {}): Read {
  return { ...base, kind: 'read', keys: ['k'], freshness: { kind: 'session' }, from, to: from + 10, rows: [{ key: 'k', values }], ...change }
}

function commit (transaction: string, from: number, change: Partial<Commit> = {}): Commit {
  return { ...base, kind: 'commit', transaction, from, to: from + 10, ...change }
}

const strict = { freshness: { kind: 'strict' } } as const
const aged = { freshness: { kind: 'age', ms: 500 } } as const
const other = { session: 's2', host: 'host-2' } as const
const open = { transaction: 't1' } as const
const red = { holder: { key: 'r1', team: 'red' } } as const
const grant = { key: 'r1', team: 'red', from: 0 } as const
const taken = { ...grant, until: { at: 100, lateMs: 50 } } as const
const allowance = { team: 'red', from: 0, to: 10_000, windowMs: 100, most: 2 } as const
/** Each takes 10 ms. */
const reds = (...times: readonly number[]) => times.map((from, i) => write(`v${i}`, from, red))
const promotion = { group: 'shop', term: 2, position: 5, at: 100 }

describe('a planted breach is told', () => {
  const cases: ReadonlyArray<readonly [string, string, Parameters<typeof partOf>[0]]> = [
    ['own write unseen on another host', 'read-your-writes broken', { calls: [write('a', 0), read([], 20, { host: 'host-2' })] }],
    ['own transaction unseen', 'read-your-writes broken', { calls: [write('a', 0, open), commit('t1', 20), read([], 40)] }],
    ['own write unseen by a read of a stated age', 'read-your-writes broken', { calls: [write('a', 0), read([], 20, aged)] }],
    ["strict read misses another's write", 'strict read stale', { calls: [write('a', 0), read([], 20, { ...other, ...strict })] }],
    ['a read older than its age', 'stated age exceeded', { calls: [write('a', 0), read([], 510, { ...other, ...aged })] }],
    ['gone after the run', 'acknowledged write lost', { calls: [write('a', 0), read([], 900, { ...other, ...strict, isFinal: true })] }],
    ['called after the promotion', 'write acknowledged by a replaced primary', { calls: [write('a', 110, { term: 1, position: 4 })], promotions: [promotion] }],
    ['past the fork', 'write acknowledged by a replaced primary', { calls: [write('a', 90, { term: 1, position: 6 })], promotions: [promotion] }],
    ['after an answer of a newer term', 'write acknowledged by a replaced primary', {
      calls: [write('a', 0, { term: 2, position: 1 }), write('b', 20, { term: 1, position: 9 })]
    }],
    ['two writes at one position', 'write acknowledged by a replaced primary', {
      calls: [write('a', 0, { term: 1, position: 1 }), write('b', 0, { term: 1, position: 1 })]
    }],
    ['a key with two effects', 'idempotency key with two effects', {
      calls: [write('a', 0, { once: 'kit-17', outcome: 'unknown' }), write('a', 20, { once: 'kit-17' }), read(['a', 'a'], 40)]
    }],
    ['a retry of what ran', 'request with two effects', { calls: [write('a', 0), read(['a', 'a'], 40)] }],
    ['"not run" and there', '"not run" that ran', { calls: [write('a', 0, { outcome: 'notRun' }), read(['a'], 40, other)] }],
    ["another's rows", "answer is another's", { calls: [read([], 0, { rows: [{ key: 'x', values: [] }] })] }],
    ['a value that nobody wrote', "answer is another's", { calls: [read(['z'], 0)] }],
    ['no end of the answer', 'answer cut', { calls: [read([], 0, { rows: [] })] }],
    ['a row twice', 'answer doubled', { calls: [read([], 0, { rows: [{ key: 'k', values: [] }, { key: 'k', values: [] }] })] }],
    ['half a transaction', 'transactions mixed', {
      calls: [write('a', 0, open), write('b', 0, { ...open, key: 'l' }), commit('t1', 20),
        read([], 40, { ...other, keys: ['k', 'l'], rows: [{ key: 'k', values: ['a'] }, { key: 'l', values: [] }] })]
    }],
    ['seen before COMMIT', 'transactions mixed', { calls: [write('a', 0, open), read(['a'], 20, other), commit('t1', 40)] }],
    ['a COMMIT told "not run" and there', '"not run" that ran', { calls: [write('a', 0, open), commit('t1', 20, { outcome: 'notRun' }), read(['a'], 40, other)] }],
    ['never committed and there', 'transactions mixed', { calls: [write('a', 0, open), read(['a'], 40, other)] }],
    ['own statement unseen inside', 'transactions mixed', { calls: [write('a', 0, open), read([], 20, open), commit('t1', 40)] }],
    ['a key that was taken away too long ago', 'served without a key', { calls: [write('a', 151, red)], grants: [taken] }],
    ['a key of another team', 'served without a key', { calls: [write('a', 0, { holder: { key: 'r1', team: 'blue' } })], grants: [grant] }],
    ['one operation too many, in a span that begins between two whole ones', 'allowance exceeded', { calls: reds(70, 110, 150), allowances: [allowance] }],
    ['one transaction too many', 'allowance exceeded', {
      calls: [...reds(0, 20), write('t', 40, { ...red, ...open }), write('u', 60, { ...red, ...open }), commit('t1', 70, red)], allowances: [allowance]
    }],
    ['a version gone back', 'configuration version gone back', {
      versions: [{ host: 'host-1', version: 3, at: 0 }, { host: 'host-1', version: 2, at: 10 }]
    }]
  ]
  it.each(cases)('%s: %s', (_, kind, part) => {
    const found = checkHistory(partOf(part))
    expect(found.map(one => one.breach.kind)).toEqual([kind])
    const [{ breach }] = found as [typeof found[0]]
    expect(checkHistory(breach.part).map(one => one.breach.kind)).toEqual([kind])
    expect(explanationOf(breach).at(-1)).toContain(breach.verdict)
  })
})

describe('a correct history is no breach', () => {
  const cases: ReadonlyArray<readonly [string, Parameters<typeof partOf>[0]]> = [
    ['an unknown outcome that ran', { calls: [write('a', 0, { outcome: 'unknown' }), read(['a'], 20, strict)] }],
    ['an unknown outcome that did not run', { calls: [write('a', 0, { outcome: 'unknown' }), read([], 20, strict)] }],
    ['an unknown outcome that shows late', { calls: [write('a', 0, { outcome: 'unknown' }), read([], 20, strict), read(['a'], 40, strict)] }],
    ['an unknown COMMIT', { calls: [write('a', 0, open), commit('t1', 20, { outcome: 'unknown' }), read([], 40, strict)] }],
    ['"not run" and then done under one key', {
      calls: [write('a', 0, { once: 'kit-17', outcome: 'notRun' }), write('a', 20, { once: 'kit-17' }), read(['a'], 40)]
    }],
    ['both tries of a key answered with the first outcome', {
      calls: [write('a', 0, { once: 'k1', term: 1, position: 1 }), write('a', 20, { once: 'k1', term: 1, position: 1 }), read(['a'], 40)]
    }],
    ['a later try in a newer term, answered with the first outcome', {
      calls: [write('a', 90, { once: 'k1', outcome: 'unknown' }), write('a', 190, { once: 'k1', term: 1, position: 5 }), read(['a'], 240)],
      promotions: [promotion]
    }],
    ["a stale read of another's write", { calls: [write('a', 0), read([], 900, other)] }],
    ['a read within its age', { calls: [write('a', 0), read([], 509, { ...other, ...aged })] }],
    ['a strict read called before the answer', { calls: [write('a', 0), read([], 9, { ...other, ...strict })] }],
    ['a refused read', { calls: [write('a', 0), read([], 20, { outcome: 'notRun', rows: [] })] }],
    ['an old term below the fork, called before', { calls: [write('a', 90, { to: 200, term: 1, position: 5 })], promotions: [promotion] }],
    ["a promotion of another group's", { calls: [write('a', 190, { term: 1, position: 9 })], promotions: [{ ...promotion, group: 'booking' }] }],
    ['a transaction that sees itself', { calls: [write('a', 0, open), read(['a'], 20, open), commit('t1', 40)] }],
    ['a read under way at COMMIT', { calls: [write('a', 0, open), commit('t1', 20), read(['a'], 15, { ...other, to: 40 })] }],
    ['a key that was taken away just now', { calls: [write('a', 150, red)], grants: [taken] }],
    ['a call under way as its key was taken away', { calls: [write('a', 150, { ...red, to: 900 })], grants: [taken] }],
    ['a refusal for want of a key', { calls: [write('a', 900, { ...red, outcome: 'notRun' })], grants: [taken] }],
    ['a key that was given to another team later', { calls: [write('a', 0, red), write('b', 300, { holder: { key: 'r1', team: 'blue' } })], grants: [taken, { ...grant, team: 'blue', from: 200 }] }],
    ['operations that may lie outside of the span', { calls: reds(0, 45, 91), allowances: [allowance] }],
    ['refused ones beyond the allowance', { calls: [...reds(0, 20), write('r', 40, { ...red, outcome: 'notRun' })], allowances: [allowance] }],
    ['statements of one transaction', { calls: [...reds(0), write('t', 20, { ...red, ...open }), write('u', 40, { ...red, ...open }), commit('t1', 60, red)], allowances: [allowance] }],
    ['a span across a change of the allowance', { calls: reds(0, 20, 60), allowances: [{ ...allowance, to: 50 }] }],
    ['the same version again', { versions: [{ host: 'host-1', version: 3, at: 0 }, { host: 'host-1', version: 3, at: 10 }] }]
  ]
  it.each(cases)('%s', (_, part) => {
    expect(checkHistory(partOf(part))).toEqual([])
  })

  it('holds for any run of one atomic list, whatever answers are withheld', () => {
    const step = fc.record({ session: fc.nat(3), isWrite: fc.boolean(), isAnswered: fc.boolean(), hasRun: fc.boolean() })
    fc.assert(fc.property(fc.array(step, { maxLength: 40 }), steps => {
      const list: string[] = []
      const calls = steps.map((one, i): Call => {
        const session = `s${one.session}`
        if (!one.isWrite) return read([...list], i * 20, { session, ...strict })
        if (one.isAnswered || one.hasRun) list.push(`v${i}`)
        return write(`v${i}`, i * 20, { session, ...one.isAnswered ? { term: 1, position: list.length } : { outcome: 'unknown' } })
      })
      expect(checkHistory(partOf({ calls }))).toEqual([])
    }), { seed: 17, numRuns: 200 })
  })
})

it('tells the shortest story of many', () => {
  const calls = [write('a', 0), write('b', 100), read([], 5000), read(['a'], 120)]
  const [found] = checkHistory(partOf({ calls }))
  expect(found?.count).toBe(3)
  expect(explanationOf(found!.breach)).toEqual([
    'read-your-writes broken:',
    '  at 0.100s session s1 on host-1 appended b to shop/k, and at 0.110s was told done.',
    '  at 0.120s session s1 on host-1 read k of shop (session), and at 0.130s got k: a.',
    "  So the session doesn't see its own b."
  ])
})
