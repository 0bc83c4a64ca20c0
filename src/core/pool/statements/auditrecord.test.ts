/** Guards against audit records that claim more of a statement's outcome than its tries prove. */

import { expect, it } from 'vitest'
import { checkPromises } from '../../audit/promises.ts'
import { explanationOf } from '../../audit/explanation.ts'
import type { EndpointId } from '../../id/endpoint.ts'
import type { GroupId } from '../../id/group.ts'
import type { Instant } from '../../id/instant.ts'
import type { Fault } from '../../statement/fault.ts'
import { Token } from '../../token.ts'
import { auditRecordOf } from './auditrecord.ts'
import type { Route } from '../route.ts'
import { TryHistory } from './tryhistory.ts'
import type { Try } from './try.ts'

const ROUTE: Route = { database: 'db', group: 'g' as GroupId, freshness: { kind: 'age', ms: 1500 }, statementTimeoutMs: 800, aimMs: 100, rank: 0 }
const PLAIN: Try = {
  endpoint: 'a' as EndpointId, what: 'read', isInTransaction: false, hasWritten: false, mustLead: false, ending: 'done', after: undefined, position: Token.of(1, 9), startMs: 0, ms: 5
}
type Ending = 'done' | Fault

function record (ending: Ending, ...tries: ReadonlyArray<Partial<Try>>) {
  const trail = TryHistory.begin(0 as Instant)
  for (const one of tries) trail.add({ ...PLAIN, ...one })
  return auditRecordOf({
    id: 'h.0123456789ab.1.1', at: 0, request: 'q1', session: 's', caller: 'c', database: 'db', route: ROUTE, config: 3, kind: 'read', transaction: 't', trail, ending, tookMs: 7
  })
}

const WRITE = { what: 'write', mustLead: true } as const
const COMMIT = { what: 'commit', isInTransaction: true, hasWritten: true, mustLead: true } as const

it.each<[string, ReturnType<typeof record>, string, string]>([
  ['a read at a replica', record('done', { after: Token.of(1, 7) }), 'done', 'held'],
  ['a strict read', record('done', { mustLead: true }), 'done', 'led'],
  ['a write', record('done', WRITE), 'done', 'committed'],
  ['a commit', record('done', COMMIT), 'done', 'committed'],
  ['a write in a transaction', record('done', { ...WRITE, isInTransaction: true }), 'done', 'led'],
  ['a replica that is behind', record('behind', { ending: 'behind', after: Token.of(1, 7) }), 'notRun', 'notRun'],
  ['no connection', record('busy', { ending: 'no connection' }), 'notRun', 'notRun'],
  ['no known primary', record('busy'), 'notRun', 'notRun'],
  ['a transaction that broke before its commit', record('aborted', { ...WRITE, isInTransaction: true, ending: 'broken' }), 'notRun', 'notRun'],
  ['a commit without an answer', record('unknown', { ...COMMIT, ending: 'broken' }), 'unknown', 'none'],
  ['a write without an answer', record('unknown', { ...WRITE, ending: 'outOfTime' }), 'unknown', 'none'],
  ['a read whose connection broke, without another endpoint', record('busy', { ending: 'broken' }), 'notRun', 'noEffect'],
  ['a commit that the successor lacks', record('unknown', COMMIT, { ...COMMIT, endpoint: 'b' as EndpointId, ending: 'not received' }), 'unknown', 'none']
])('%s', (_name, { fields, last }, outcome, promise) => {
  expect([fields.outcome, last?.evidence?.promise ?? 'none']).toEqual([outcome, promise])
})

it('a commit that the successor received is recorded at the endpoint that led', () => {
  const one = record('done', COMMIT, { ...COMMIT, endpoint: 'b' as EndpointId, ending: 'received' })
  expect([one.fields.attempts.length, one.last!.endpoint, one.last!.token]).toEqual([1, 'a', '1:9'])
})

it('records show kept and broken promises of a session', () => {
  const at = (ms: number, one: ReturnType<typeof record>) => Object.assign(one, { fields: { ...one.fields, at: ms } })
  const written = at(0, record('done', { ...WRITE, position: Token.of(1, 12) }))
  expect(checkPromises([written, at(500, record('done', { after: Token.of(1, 12) }))], 0).kept.readYourWrites).toBe(1)
  expect(checkPromises([written, at(500, record('done', { after: Token.of(1, 11) }))], 0).broken).toHaveLength(1)
})

it('an explanation names the endpoints, the evidence and the outcome', () => {
  const explanation = explanationOf(record('done', { ending: 'behind', after: Token.of(1, 12) }, { endpoint: 'b' as EndpointId, mustLead: true, startMs: 5 })).join(' ')
  expect(explanation).toContain('went to a (read) and was not run')
  expect(explanation).toContain('went to b (strict) and was done')
  expect(explanation).toContain('its endpoint led while it ran')
})
