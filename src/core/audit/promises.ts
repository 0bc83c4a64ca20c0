/**
 * Checks promises from audit records alone. Records of several hosts are
 * compared by their clocks, so requests count as one after the other only if
 * they are further apart than `skewMs`.
 */

import { reasons } from '../reason.ts'
import { Token } from '../token.ts'
import type { AuditRecord } from './record.ts'

type Attempt = NonNullable<AuditRecord['last']>

interface Findings {
  /** How often the records show each promise as kept. */
  readonly kept: Readonly<Record<'readYourWrites' | 'atMostOnce' | 'oneAcknowledger' | 'notRun', number>>
  /** One line for each promise that the records show as broken or don't prove. */
  readonly broken: readonly string[]
}

/** Evidence that the endpoint of an acknowledged write was primary. */
const ACKNOWLEDGING_PROMISES: ReadonlySet<string> = new Set(['acknowledged', 'committed'])

export function checkPromises (records: readonly AuditRecord[], skewMs: number): Findings {
  const checks = {
    readYourWrites: readYourWrites(records, skewMs),
    atMostOnce: atMostOnce(records),
    oneAcknowledger: oneAcknowledger(records),
    notRun: notRun(records)
  }
  const broken = Object.values(checks).flatMap(check => check.broken)
  const kept = Object.fromEntries(Object.entries(checks).map(([name, check]) => [name, check.kept])) as Findings['kept']
  return { kept, broken }
}

interface Check {
  kept: number
  readonly broken: string[]
}

/** A read that began after a write of its session was acknowledged needs evidence that covers the write. */
function readYourWrites (records: readonly AuditRecord[], skewMs: number): Check {
  const check: Check = { kept: 0, broken: [] }
  for (const members of groupBy(records, ({ fields }) => `${fields.session}\n${fields.group}`).values()) {
    const writes = members.filter(one => acknowledgedToken(one) !== undefined)
    for (const read of members.filter(one => isStandaloneRead(one))) {
      const before = writes.filter(write => endedAt(write) + skewMs < read.fields.at)
      const newest = before.reduce<Token>((token, write) => token.max(acknowledgedToken(write)!), Token.zero)
      if (before.length === 0) continue
      if (covers(read, newest)) check.kept++
      else check.broken.push(`${read.fields.id}: read of session ${read.fields.session} isn't proved to show its write ${newest}`)
    }
  }
  return check
}

/** A read in a transaction runs at the transaction's endpoint and has no freshness requirement of its own. */
function isStandaloneRead ({ fields, last }: AuditRecord): boolean {
  return fields.freshness !== undefined && fields.outcome === 'done' && last?.access !== 'transaction'
}

/** Each idempotency key has at most one effect, at one position of the log. Replays of the first outcome don't count. */
function atMostOnce (records: readonly AuditRecord[]): Check {
  const check: Check = { kept: 0, broken: [] }
  const keys = transactionKeys(records)
  const keyOf = (record: AuditRecord): string | undefined => record.fields.once ?? keys.get(record.last?.transaction ?? '')
  const keyed = records.filter(one => keyOf(one) !== undefined)
  for (const [key, members] of groupBy(keyed, one => `${one.fields.group}/${one.fields.caller}/${keyOf(one)}`)) {
    const effects = members.filter(one => acknowledgedToken(one) !== undefined && one.last?.evidence?.promise !== 'firstOutcome')
    if (effects.length <= 1) check.kept++
    else check.broken.push(`key ${key} ran ${effects.length} times: ${effects.map(one => `${one.fields.id} at ${acknowledgedToken(one)}`).join(', ')}`)
  }
  return check
}

/** Maps transactions to the idempotency key of their BEGIN; the effect is at the position of the COMMIT. */
function transactionKeys (records: readonly AuditRecord[]): ReadonlyMap<string, string> {
  return new Map(records.flatMap(({ fields, last }) =>
    fields.once === undefined || last?.transaction === undefined ? [] : [[last.transaction, fields.once]]))
}

/** In one term writes of only one endpoint may be acknowledged. */
function oneAcknowledger (records: readonly AuditRecord[]): Check {
  const check: Check = { kept: 0, broken: [] }
  const writes = records.filter(one => acknowledgedToken(one) !== undefined && ACKNOWLEDGING_PROMISES.has(one.last?.evidence?.promise ?? ''))
  for (const [term, members] of groupBy(writes, one => `${one.fields.group}, term ${acknowledgedToken(one)!.term}`)) {
    const endpoints = new Set(members.map(one => one.last!.endpoint))
    if (endpoints.size === 1) check.kept++
    else check.broken.push(`${term}: writes of ${[...endpoints].join(' and ')} were acknowledged`)
  }
  return check
}

function notRun (records: readonly AuditRecord[]): Check {
  const check: Check = { kept: 0, broken: [] }
  for (const record of records.filter(one => one.fields.outcome === 'notRun')) {
    if (isSettledNotRun(record) || record.fields.attempts.every(isProvedNotRun)) check.kept++
    else check.broken.push(`${record.fields.id}: said to be not run, but an attempt has no proof of it`)
  }
  return check
}

/** A key that was settled as not run rules out earlier attempts under it as well. */
function isSettledNotRun ({ last }: AuditRecord): boolean {
  return last?.evidence?.promise === 'notRun' && last.evidence.reason === 'voided'
}

function isProvedNotRun ({ evidence }: Attempt): boolean {
  if (evidence?.promise === 'noEffect') return true
  return evidence?.promise === 'notRun' && reasons[evidence.reason].provesNotRun
}

/** The position of an acknowledged write; undefined for anything else. */
function acknowledgedToken ({ fields, last }: AuditRecord): Token | undefined {
  if (fields.outcome !== 'done' || last?.token === undefined) return undefined
  return Token.parse(last.token)
}

/** A strict read needs no comparison: it was answered in the newest term, after the write. */
function covers ({ last }: AuditRecord, write: Token): boolean {
  const evidence = last?.evidence
  if (evidence?.promise === 'strict' || evidence?.promise === 'led') return true
  // A newer term's token covers what its promotion kept of older terms; no record shows what the promotion cut off.
  if (evidence?.promise === 'held') return !write.isAfter(Token.parse(evidence.token)!)
  if (evidence?.promise !== 'readYourWrites' && evidence?.promise !== 'age') return false
  const token = Token.parse(evidence.token)!
  const applied = Token.parse(evidence.applied)!
  return !write.isAfter(token) && applied.term >= token.term && applied.position >= token.position
}

function endedAt ({ fields }: AuditRecord): number {
  return fields.at + (fields.tookMs ?? 0)
}

function groupBy (records: readonly AuditRecord[], key: (record: AuditRecord) => string): ReadonlyMap<string, readonly AuditRecord[]> {
  const groups = new Map<string, AuditRecord[]>()
  for (const record of records) {
    const name = key(record)
    const members = groups.get(name)
    if (members === undefined) groups.set(name, [record])
    else members.push(record)
  }
  return groups
}
