/** Classifies a request as good or bad for a service level. */

import type { AuditRecord } from '../audit/record.ts'
import { parseDuration } from '../settings/duration.ts'
import type { ServiceLevel } from './servicelevel.ts'

type Verdict = 'good' | 'bad'

/** Returns undefined when the level doesn't apply to the request. */
export function classifyRequest (level: ServiceLevel, record: AuditRecord): Verdict | undefined {
  if (record.fields.pool !== level.pool) return undefined
  const isGood = CLASSIFIERS[level.measure](record, level)
  if (isGood === undefined) return undefined
  return isGood ? 'good' : 'bad'
}

const CLASSIFIERS: Readonly<Record<ServiceLevel['measure'], (record: AuditRecord, level: ServiceLevel) => boolean | undefined>> = {
  urgentInTime ({ fields }, { withinMs }) {
    if (fields.class !== 'urgent') return undefined
    const isAnswered = fields.outcome === 'done' || fields.outcome === 'failed'
    return isAnswered && fields.tookMs! <= (withinMs ?? fields.deadlineMs)
  },

  /** What the endpoint refused, such as a duplicate key, is an error of the caller and doesn't count. */
  writesSucceed ({ fields }) {
    if ((fields.kind !== 'write' && fields.kind !== 'commit') || fields.outcome === 'failed') return undefined
    return fields.outcome === 'done'
  },

  stalenessKept (record) {
    return isStandaloneRead(record) ? hasFreshnessProof(record) : undefined
  },

  replicaShare (record) {
    if (!isStandaloneRead(record) || record.fields.freshness === 'strict') return undefined
    return record.last?.access === 'read'
  }
}

/** A read in a transaction is bound to the transaction's endpoint, so routing has no choice. */
function isStandaloneRead ({ fields, last }: AuditRecord): boolean {
  return fields.freshness !== undefined && fields.outcome === 'done' && last?.access !== 'transaction'
}

function hasFreshnessProof ({ fields, last }: AuditRecord): boolean {
  const evidence = last?.evidence
  if (evidence?.promise === 'strict') return true
  if (fields.freshness === 'session') return evidence?.promise === 'readYourWrites' || evidence?.promise === 'age'
  if (fields.freshness === 'strict' || evidence?.promise !== 'age') return false
  return parseDuration(fields.freshness!).match(limitMs => evidence.ageMs <= limitMs, () => false)
}
