/** Builds the audit record of a statement of a pooled session. */

import { classes } from '../../admission/classes.ts'
import type { Evidence } from '../../audit/evidence.ts'
import { AuditRecord } from '../../audit/record.ts'
import type { Outcome } from '../../outcome.ts'
import type { ReasonName } from '../../reasonname.ts'
import type { Fault } from '../../statement/fault.ts'
import type { Statement } from '../../statement/statement.ts'
import type { Route } from '../route.ts'
import type { Congestion } from './congestion.ts'
import type { TryHistory } from './tryhistory.ts'
import type { Try } from './try.ts'

interface AuditedStatement {
  readonly id: string
  /** Milliseconds since 1970 on the host's clock when the statement arrived. */
  readonly at: number
  /** The caller's id of the statement. */
  readonly request: string
  readonly session: string
  readonly caller: string
  readonly database: string
  /** Undefined for a database that isn't configured. */
  readonly route: Route | undefined
  readonly config: number
  readonly kind: Statement['kind'] | 'none'
  readonly transaction: string | undefined
  readonly trail: TryHistory
  readonly ending: 'done' | Fault
  readonly tookMs: number
  /** Only for a statement that was refused because its group was at capacity. */
  readonly met?: Congestion | undefined
}

type Attempt = Parameters<AuditRecord['withAttempt']>[0]

const OUTCOMES: Readonly<Record<Fault, Outcome>> = {
  busy: 'notRun',
  aborted: 'notRun',
  behind: 'notRun',
  notPrimary: 'notRun',
  wrongEndpoint: 'notRun',
  tooManyConnections: 'notRun',
  failed: 'failed',
  timeout: 'unknown',
  unknown: 'unknown',
  unknownStatement: 'failed',
  unknownDatabase: 'failed',
  malformed: 'failed',
  tooLarge: 'failed',
  unauthorised: 'failed',
  outOfTouch: 'notRun',
  overAllowance: 'notRun'
}

/** Endings of a try that prove that the statement wasn't run, with the reason for the record. */
const NOT_RUN_REASONS: ReadonlyMap<string, ReasonName> = new Map<string, ReasonName>([
  ['busy', 'busy'],
  ['no connection', 'busy'],
  ['behind', 'behind'],
  ['notPrimary', 'replaced'],
  ['wrongEndpoint', 'unreachable'],
  ['tooManyConnections', 'unreachable'],
  ['unknownStatement', 'notSent'],
  ['outOfTouch', 'outOfTouch'],
  ['overAllowance', 'overAllowance']
])

/** Reasons for a statement that was refused before any endpoint was tried. */
const REASONS_WITHOUT_TRY: ReadonlyMap<Fault, ReasonName> = new Map<Fault, ReasonName>([['busy', 'noPrimary'], ['aborted', 'lostTransaction'], ['outOfTouch', 'outOfTouch'], ['overAllowance', 'overAllowance']])
/** Ending of the check that a leaving primary's successor has received a commit; the record keeps the commit's own try instead. */
const RECEIPT = 'received'

export function auditRecordOf (audited: AuditedStatement): AuditRecord {
  const { id, at, request, session, caller, database, route, config, kind, trail, ending, tookMs, met } = audited
  const { freshness } = route ?? {}
  const isRead = trail.tries[0]?.what === 'read'
  const initial = AuditRecord.begin({
    id,
    request,
    at,
    session,
    caller,
    pool: database,
    group: route?.group ?? '',
    config,
    kind,
    freshness: isRead && freshness !== undefined ? formatFreshness(freshness) : undefined,
    class: classes[route?.rank ?? 0] ?? classes[0],
    statement: kind.toUpperCase(),
    deadlineMs: route?.statementTimeoutMs ?? 0,
    met: met === undefined ? undefined : { ...met, endpoints: met.endpoints.map(one => ({ ...one, waiting: [...one.waiting] })) }
  })
  const attempts = attemptsOf(audited)
  const outcome = ending === 'done' ? ending : OUTCOMES[ending]
  return attempts.reduce((record, attempt) => record.withAttempt(attempt), initial).withOutcome(outcome, roundToTenth(tookMs))
}

function attemptsOf ({ trail, ending, route, transaction }: AuditedStatement): readonly Attempt[] {
  const tries = trail.tries.filter(({ ending }) => ending !== RECEIPT)
  if (tries.length > 0 || ending === 'done') return tries.map(one => attemptOf(one, route, transaction))
  const reason = REASONS_WITHOUT_TRY.get(ending)
  const evidence: Evidence | undefined = reason === undefined ? undefined : { promise: 'notRun', reason }
  return [{ endpoint: '', access: 'none', startMs: 0, tookMs: 0, outcome: OUTCOMES[ending], reason: reason ?? ending, evidence }]
}

function attemptOf (one: Try, route: Route | undefined, transaction: string | undefined): Attempt {
  const { endpoint, what, isInTransaction, ending, position, startMs, ms } = one
  const evidence = evidenceOf(one, route)
  return {
    endpoint,
    access: accessOf(one),
    transaction: isInTransaction ? transaction : undefined,
    startMs: roundToTenth(startMs),
    tookMs: roundToTenth(ms),
    outcome: outcomeOf(ending, evidence),
    reason: ending === 'done' ? '' : ending,
    token: ending === 'done' && what !== 'read' && !(isInTransaction && what === 'write') ? position?.toString() : undefined,
    evidence
  }
}

function accessOf ({ what, isInTransaction, mustLead }: Try): Attempt['access'] {
  if (what === 'commit') return 'commit'
  if (isInTransaction) return 'transaction'
  if (what === 'write') return 'write'
  return mustLead ? 'strict' : 'read'
}

function outcomeOf (ending: string, evidence: Evidence | undefined): Outcome {
  if (ending === 'done' || ending === 'failed') return ending
  return evidence?.promise === 'notRun' ? 'notRun' : 'unknown'
}

function evidenceOf ({ ending, what, isInTransaction, hasWritten, mustLead, after, position }: Try, route: Route | undefined): Evidence | undefined {
  const isCommitted = what === 'commit' ? hasWritten : what === 'write' && !isInTransaction
  if (ending === 'done') {
    if (isCommitted) return position === undefined ? undefined : { promise: 'committed', token: position.toString() }
    if (mustLead && what !== 'commit') return { promise: 'led' }
    return after === undefined ? undefined : { promise: 'held', token: after.toString(), limitMs: route?.freshness.kind === 'age' ? route.freshness.ms : 0 }
  }
  const reason = NOT_RUN_REASONS.get(ending)
  if (reason !== undefined) return { promise: 'notRun', reason }
  if (ending !== 'broken' && ending !== 'outOfTime') return undefined
  if (isInTransaction && !isCommitted) return { promise: 'notRun', reason: 'rolledBack' }
  return what === 'read' ? { promise: 'noEffect' } : undefined
}

function formatFreshness (freshness: Route['freshness']): string {
  return freshness.kind === 'age' ? `${freshness.ms}ms` : freshness.kind
}

/** Rounds to tenths of a millisecond, to keep records short. */
function roundToTenth (ms: number): number {
  return Math.round(ms * 10) / 10
}
