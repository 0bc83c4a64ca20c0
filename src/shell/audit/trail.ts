/** Builds the audit record of one request while it runs. */

import { Done_Outcome as DoneOutcome, Run_Access as RunAccess, type Done } from '../../gen/peer_pb.ts'
import type { Evidence } from '../../core/audit/evidence.ts'
import type { AuditRecord } from '../../core/audit/record.ts'
import type { Instant } from '../../core/id/instant.ts'
import type { Outcome } from '../../core/outcome.ts'
import { reasons } from '../../core/reason.ts'
import type { ReasonName } from '../../core/reasonname.ts'
import type { Target } from '../caller/target.ts'
import type { Audit } from './audit.ts'

interface Options {
  readonly record: AuditRecord
  readonly began: Instant
  readonly now: () => Instant
  /** Called with the complete record. */
  readonly onRecord: (record: AuditRecord) => void
}

const ACCESS = {
  [RunAccess.UNSPECIFIED]: 'none',
  [RunAccess.READ]: 'read',
  [RunAccess.WRITE]: 'write',
  [RunAccess.STRICT]: 'strict',
  [RunAccess.TRANSACTION]: 'transaction',
  [RunAccess.COMMIT]: 'commit',
  [RunAccess.ROLLBACK]: 'rollback'
} as const

const OUTCOME: Readonly<Record<DoneOutcome, Outcome>> = {
  [DoneOutcome.UNSPECIFIED]: 'unknown',
  [DoneOutcome.DONE]: 'done',
  [DoneOutcome.NOT_RUN]: 'notRun',
  [DoneOutcome.UNKNOWN]: 'unknown',
  [DoneOutcome.FAILED]: 'failed'
}

/** The open record of one request: collects its attempts and hands over the record at the end. */
export class RequestTrail {
  private record: AuditRecord

  private constructor (private readonly options: Options) {
    this.record = options.record
  }

  static begin (options: Options): ReturnType<Audit['begin']> {
    return new RequestTrail(options)
  }

  addAttempt (target: Target, done: Done, began: Instant): void {
    const isPlaced = target.kind === 'endpoint'
    this.record = this.record.withAttempt({
      endpoint: isPlaced ? target.endpoint : '',
      access: isPlaced ? ACCESS[target.access] : 'none',
      transaction: isPlaced && target.transaction !== '' ? target.transaction : undefined,
      startMs: roundToTenths(began - this.options.began),
      tookMs: roundToTenths(this.options.now() - began),
      outcome: OUTCOME[done.outcome],
      reason: done.reason,
      code: done.code === 0 ? undefined : done.code,
      token: tokenOf(done),
      evidence: evidenceOf(target, done)
    })
  }

  end (done: Done): Done {
    const { now, began, onRecord } = this.options
    onRecord(this.record.withOutcome(OUTCOME[done.outcome], roundToTenths(now() - began)))
    if (done.outcome === DoneOutcome.DONE) return done
    return { ...done, message: `${done.message} (request ${this.record.fields.id})` }
  }
}

/** The evidence for the outcome: from the slot owner's answer, or from the target where only routing knows it. */
function evidenceOf (target: Target, done: Done): Evidence | undefined {
  if (done.outcome === DoneOutcome.NOT_RUN && done.reason in reasons) return { promise: 'notRun', reason: done.reason as ReasonName }
  if (done.outcome !== DoneOutcome.DONE || target.kind === 'nowhere') return undefined
  if (target.access === RunAccess.STRICT) return { promise: 'strict' }
  const token = tokenOf(done)
  if (token === undefined) return target.evidence
  return { promise: done.reason === 'alreadyDone' ? 'firstOutcome' : 'acknowledged', token }
}

function tokenOf (done: Done): string | undefined {
  return done.position > 0 ? `${done.term}:${done.position}` : undefined
}

/** Rounds to tenths of a millisecond, which keeps records short. */
function roundToTenths (ms: number): number {
  return Math.round(ms * 10) / 10
}
