/** Which promises audit records prove, and which breaches they show. */

import { describe, expect, it } from 'vitest'
import type { Evidence } from './evidence.ts'
import { checkPromises } from './promises.ts'
import { AuditRecord } from './record.ts'
import { explanationOf } from './explanation.ts'

type Start = Parameters<typeof AuditRecord.begin>[0]
type Attempt = Parameters<AuditRecord['withAttempt']>[0]

/** A request that arrives at `at` ms, takes 10 ms and ends with the outcome of its only attempt. */
function request (at: number, start: Partial<Start>, attempt: Partial<Attempt>): AuditRecord {
  return AuditRecord.begin({
    id: `r${at}`, at, session: 's', caller: 'app', pool: 'main', group: 'shop', config: 1, kind: 'x', class: 'normal', statement: 'X', deadlineMs: 5000, ...start
  }).withAttempt({
    endpoint: 'shop-1', access: 'write', startMs: 0, tookMs: 10, outcome: 'done', reason: '', ...attempt
  }).withOutcome(attempt.outcome ?? 'done', 10)
}

const write = (at: number, token: string, start: Partial<Start> = {}, endpoint = 'shop-1'): AuditRecord =>
  request(at, start, { endpoint, token, evidence: { promise: 'acknowledged', token } })
const read = (at: number, evidence?: Evidence, session = 's'): AuditRecord =>
  request(at, { session, freshness: 'session' }, { access: 'read', endpoint: 'shop-2', evidence })
const onReplica = (token: string, applied: string): Evidence => ({ promise: 'readYourWrites', token, applied })

describe('checkPromises', () => {
  it.each<[string, AuditRecord[], object]>([
    ['a read that covers the write', [write(0, '3:17'), read(50, onReplica('3:17', '3:19'))], { readYourWrites: 1 }],
    ['a strict read', [write(0, '3:17'), read(50, { promise: 'strict' })], { readYourWrites: 1 }],
    ['a read of another session', [write(0, '3:17'), read(50, onReplica('0:0', '3:1'), 'other')], { readYourWrites: 0 }],
    ['a read that overlaps the write', [write(0, '3:17'), read(5, onReplica('0:0', '3:1'))], { readYourWrites: 0 }],
    ['a read within the skew of clocks', [write(0, '3:17'), read(25, onReplica('0:0', '3:1'))], { readYourWrites: 0 }],
    ['a replay of the first outcome', [write(0, '3:17', { once: 'k' }), request(50, { once: 'k' }, { token: '3:19', evidence: { promise: 'firstOutcome', token: '3:19' } })], { atMostOnce: 1 }],
    ['a read of a transaction', [write(0, '3:17'), request(50, { freshness: 'session' }, { access: 'transaction', transaction: 't' })], { readYourWrites: 0 }],
    ['two terms with a primary each', [write(0, '3:17'), write(50, '4:18', {}, 'shop-2')], { oneAcknowledger: 2 }],
    ['a proof of "not run"', [request(0, {}, { outcome: 'notRun', reason: 'noPrimary', evidence: { promise: 'notRun', reason: 'noPrimary' } })], { notRun: 1 }],
    ['a lost attempt whose key was settled as not run', [request(0, { once: 'k' }, { outcome: 'unknown', reason: 'lost' }).withAttempt({
      endpoint: 'shop-1', access: 'write', startMs: 9, tookMs: 1, outcome: 'notRun', reason: 'voided', evidence: { promise: 'notRun', reason: 'voided' }
    }).withOutcome('notRun', 10)], { notRun: 1 }]
  ])('shows %s as kept', (_, records, kept) => {
    expect(checkPromises(records, 20)).toMatchObject({ kept, broken: [] })
  })

  it.each<[string, AuditRecord[], RegExp]>([
    ['a read before the write on its replica', [write(0, '3:17'), read(50, onReplica('3:17', '3:16'))], /r50: read of session s isn't proved to show its write 3:17/],
    ['a read by an older token', [write(0, '3:17'), read(50, onReplica('3:16', '3:19'))], /r50/],
    ['a replica of an older term', [write(0, '3:17'), read(50, onReplica('3:17', '2:90'))], /r50/],
    ['a read without evidence', [write(0, '3:17'), read(50)], /r50/],
    ['a key that ran twice', [write(0, '3:17', { once: 'k' }), write(50, '3:18', { once: 'k' })], /key shop\/app\/k ran 2 times: r0 at 3:17, r50 at 3:18/],
    ['a key whose transaction committed again', [
      request(0, { once: 'k' }, { access: 'transaction', transaction: 't' }),
      request(20, {}, { access: 'commit', transaction: 't', token: '3:17', evidence: { promise: 'acknowledged', token: '3:17' } }),
      write(50, '3:18', { once: 'k' })
    ], /ran 2 times/],
    ['two endpoints in one term', [write(0, '3:17'), write(50, '3:18', {}, 'shop-2')], /shop, term 3: writes of shop-1 and shop-2/],
    ['"not run" without a proof', [request(0, {}, { outcome: 'notRun', reason: 'busy' })], /r0: said to be not run/],
    ['"not run" on a reason that proves nothing', [request(0, {}, { outcome: 'notRun', reason: 'lost', evidence: { promise: 'notRun', reason: 'lost' } })], /r0: said/]
  ])('shows %s as broken', (_, records, broken) => {
    expect(checkPromises(records, 20).broken.join('\n')).toMatch(broken)
  })
})

describe('explanationOf', () => {
  it('describes attempts, evidence and outcome', () => {
    const record = AuditRecord.parse(JSON.parse(JSON.stringify(write(0, '3:17', { once: 'k' }))))!
    expect(explanationOf(record)).toEqual([
      'Caller app sent a x (class normal) to group shop of pool main in session s, under version 1 of the configuration.',
      'Its shape: X',
      'It was marked to run at most once, under the key k.',
      'Attempt 1, after 0 ms, went to shop-1 (write) and was done at 3:17 (term:position) within 10 ms.',
      'The acknowledgement was checked: a second endpoint had received 3:17 in the same term.',
      'It was done. It took 10 ms of the 5000 ms it had.'
    ])
  })
})
