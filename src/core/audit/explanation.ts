/** Explains an audit record in plain sentences. */

import { classes } from '../admission/classes.ts'
import { reasons } from '../reason.ts'
import type { Evidence } from './evidence.ts'
import type { AuditRecord } from './record.ts'

type Attempt = NonNullable<AuditRecord['last']>

const OUTCOME_SENTENCES = {
  done: 'It was done.',
  failed: 'The endpoint refused it; it had no effect.',
  notRun: 'The caller was told "not run": it had no effect and will have none.',
  unknown: 'The caller was told that the outcome is unknown: it may have run.'
} as const

/** Sentences in the order of events. Times are milliseconds since the request's arrival. */
export function explanationOf (record: AuditRecord): readonly string[] {
  const { fields } = record
  const ending = fields.outcome === undefined ? 'It has no outcome on record.' : OUTCOME_SENTENCES[fields.outcome]
  return [
    `Caller ${fields.caller} sent a ${fields.kind} (class ${fields.class}) to group ${fields.group} of pool ${fields.pool} ` +
      `in session ${fields.session}, under version ${fields.config} of the configuration.`,
    `Its shape: ${fields.statement === '' ? 'none' : fields.statement}`,
    ...describeConstraints(record),
    ...fields.attempts.flatMap((attempt, i) => describeAttempt(attempt, i + 1)),
    ...describeCongestion(record),
    `${ending} It took ${round(fields.tookMs ?? 0)} ms of the ${round(fields.deadlineMs)} ms it had.`
  ]
}

function describeConstraints ({ fields }: AuditRecord): string[] {
  const sentences = []
  if (fields.freshness !== undefined) {
    const readKind = fields.read === undefined ? '' : `, as kind "${fields.read}"`
    sentences.push(`It was held to the freshness "${fields.freshness}"${readKind}.`)
  }
  if (fields.once !== undefined) sentences.push(`It was marked to run at most once, under the key ${fields.once}.`)
  return sentences
}

/** Describes the load at the endpoints when a statement was refused. */
function describeCongestion ({ fields: { met, class: own } }: AuditRecord): string[] {
  if (met === undefined) return []
  const team = met.team === undefined ? '' : ` of team ${met.team}`
  const endpoints = met.endpoints.map(({ endpoint, atWork, waiting }) => `${atWork} at work at ${endpoint}, and waiting for it ${waiting.map((count, rank) => `${count} ${classes[rank]}`).join(', ')}`)
  const largest = met.largest === undefined ? '' : ` Team ${met.largest.team} had asked most of the group: ${Math.round(met.largest.part * 100)}% of its last seconds.`
  const retryText = met.retryAfterMs === 0 ? ' It was given no time to retry.' : ` It was told to come back after ${round(met.retryAfterMs)} ms.`
  return [`When this ${own} statement${team} was refused, its host had ${endpoints.length === 0 ? 'no statements at the endpoints' : endpoints.join('; ')}.${largest}${retryText}`]
}

function describeAttempt (attempt: Attempt, number: number): string[] {
  const { endpoint, access, transaction, startMs, tookMs, outcome, reason, code, token, evidence } = attempt
  const where = endpoint === '' ? 'found no available endpoint' : `went to ${endpoint} (${access}${transaction === undefined ? '' : ` ${transaction}`})`
  const why = reason in reasons ? `: ${reasons[reason as keyof typeof reasons].message}` : ''
  const error = code === undefined ? '' : `, with error ${code}`
  const at = token === undefined ? '' : ` at ${token} (term:position)`
  return [
    `Attempt ${number}, after ${round(startMs)} ms, ${where} and was ${OUTCOME_WORDS[outcome]}${at} within ${round(tookMs)} ms${error}${why}.`,
    evidence === undefined ? 'No promise was checked for it on record.' : describeEvidence(evidence)
  ]
}

const OUTCOME_WORDS = { done: 'done', failed: 'refused by the endpoint', notRun: 'not run', unknown: 'left unknown' } as const

function describeEvidence (evidence: Evidence): string {
  switch (evidence.promise) {
    case 'readYourWrites':
      return `Read-your-writes was checked: the session's token was ${evidence.token}, the replica had applied ${evidence.applied}.`
    case 'age':
      return `Its age was checked: ${round(evidence.ageMs)} ms of the ${round(evidence.limitMs)} ms allowed; ` +
        `the session's token was ${evidence.token}, the replica had applied ${evidence.applied}.`
    case 'strict':
      return 'Strictness was checked: the primary and a second endpoint proved, after the read arrived, that no newer term had begun.'
    case 'acknowledged':
      return `The acknowledgement was checked: a second endpoint had received ${evidence.token} in the same term.`
    case 'firstOutcome':
      return `At most once was checked: the key had run before, which a second endpoint confirmed up to ${evidence.token}; nothing ran again.`
    case 'led':
      return 'Strictness was checked: it ran inside of a transaction that only the primary serves, so its endpoint led while it ran.'
    case 'held':
      return `Its age was checked: the endpoint's log held ${evidence.token}, which covers all that was acknowledged ${round(evidence.limitMs)} ms before it arrived.`
    case 'committed':
      return `The acknowledgement was checked: the endpoint was primary when it committed, and its log reached ${evidence.token}.`
    case 'noEffect':
      return 'It was a read, which has no effect.'
    case 'notRun':
      return `"Not run" rests on this proof: ${reasons[evidence.reason].message}.`
  }
}

function round (ms: number): string {
  return String(Math.round(ms * 10) / 10)
}
