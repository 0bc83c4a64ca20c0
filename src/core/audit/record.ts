/**
 * The audit record of one request: what was asked, what was tried, which
 * promise was checked on which evidence, and the outcome. It holds the shape of
 * a statement but none of its values.
 */

import * as z from 'zod'
import type { Outcome } from '../outcome.ts'
import { reasons } from '../reason.ts'
import type { ReasonName } from '../reasonname.ts'

const token = z.string().regex(/^\d+:\d+$/)
const outcome = z.enum(['done', 'failed', 'notRun', 'unknown'] satisfies Outcome[])
const reasonName = z.enum(Object.keys(reasons) as [ReasonName, ...ReasonName[]])

const evidence = z.discriminatedUnion('promise', [
  z.object({ promise: z.literal('readYourWrites'), token, applied: token }),
  z.object({ promise: z.literal('age'), token, applied: token, ageMs: z.number(), limitMs: z.number() }),
  z.object({ promise: z.literal('strict') }),
  z.object({ promise: z.literal('acknowledged'), token }),
  z.object({ promise: z.literal('firstOutcome'), token }),
  z.object({ promise: z.literal('led') }),
  z.object({ promise: z.literal('held'), token, limitMs: z.number() }),
  z.object({ promise: z.literal('committed'), token }),
  z.object({ promise: z.literal('noEffect') }),
  z.object({ promise: z.literal('notRun'), reason: reasonName })
])

const attemptShape = z.object({
  /** Empty when no endpoint was available. */
  endpoint: z.string(),
  access: z.enum(['read', 'write', 'strict', 'transaction', 'commit', 'rollback', 'none']),
  transaction: z.string().optional(),
  /** From the arrival of the request to the start of the attempt, in milliseconds. */
  startMs: z.number(),
  tookMs: z.number(),
  outcome,
  /** The typed refusal; empty when there was none. */
  reason: z.string(),
  /** The MySQL error that the endpoint or the proxy answered with. */
  code: z.number().optional(),
  /** The log position of the write; absent for reads. */
  token: token.optional(),
  evidence: evidence.optional()
})

/** The congestion that a statement met when it was refused for lack of capacity. */
const congestionShape = z.object({
  team: z.string().optional(),
  endpoints: z.array(z.object({
    endpoint: z.string(),
    /** Statements of this host that run there. */
    atWork: z.number(),
    /** Statements of this host that wait for it, by class. */
    waiting: z.array(z.number())
  })),
  /** The team that had asked most of the group, and its share of all that was asked, from 0 to 1. */
  largest: z.object({ team: z.string(), part: z.number() }).optional(),
  /** When the caller was told to retry, in milliseconds; 0 when nothing was known. */
  retryAfterMs: z.number()
})

const shape = z.object({
  id: z.string(),
  /** The caller's own request id, where the protocol has one. */
  request: z.string().optional(),
  /** When the request arrived, in milliseconds since 1970 on the host's clock. */
  at: z.number(),
  session: z.string(),
  caller: z.string(),
  pool: z.string(),
  group: z.string(),
  /** The configuration version that applied when the request arrived. */
  config: z.number(),
  /** The kind of statement: read, write, begin and so on. */
  kind: z.string(),
  /** The kind of read that the caller named, if any. */
  read: z.string().optional(),
  /** The freshness that the read required; absent for writes. */
  freshness: z.string().optional(),
  class: z.string(),
  /** The idempotency key of a request that must not run twice. */
  once: z.string().optional(),
  statement: z.string(),
  deadlineMs: z.number(),
  met: congestionShape.optional(),
  attempts: z.array(attemptShape),
  outcome: outcome.optional(),
  tookMs: z.number().optional()
})

type Fields = z.output<typeof shape>
type Attempt = Fields['attempts'][number]
type Start = Omit<Fields, 'attempts' | 'outcome' | 'tookMs'>

/** The record of one request. Immutable; `withAttempt` and `withOutcome` return the next value. */
export class AuditRecord {
  private constructor (readonly fields: Readonly<Fields>) {}

  static begin (start: Start): AuditRecord {
    return new AuditRecord({ ...start, attempts: [] })
  }

  /** Returns undefined when the value isn't a record. */
  static parse (value: unknown): AuditRecord | undefined {
    const parsed = shape.safeParse(value)
    return parsed.success ? new AuditRecord(parsed.data) : undefined
  }

  withAttempt (attempt: Attempt): AuditRecord {
    return new AuditRecord({ ...this.fields, attempts: [...this.fields.attempts, attempt] })
  }

  withOutcome (outcome: Outcome, tookMs: number): AuditRecord {
    return new AuditRecord({ ...this.fields, outcome, tookMs })
  }

  /** The attempt that decided the outcome. */
  get last (): Attempt | undefined {
    return this.fields.attempts.at(-1)
  }

  toJSON (): Readonly<Fields> {
    return this.fields
  }
}
