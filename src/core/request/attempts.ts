/**
 * The attempts of one request, on the frontend's side.
 *
 * "Not run" may be reported only if every attempt so far is proved not to have run. So an attempt with an unknown outcome stays on record:
 * a later attempt that didn't run, or failed, proves nothing about the earlier one, which may still take effect.
 */

import type { EndpointId } from '../id/endpoint.ts'
import type { Instant } from '../id/instant.ts'
import type { ReasonName } from '../reasonname.ts'
import { reasons } from '../reason.ts'
import type { AttemptsAction } from './attemptsaction.ts'
import type { AttemptsEvent } from './attemptsevent.ts'
import type { RetryBudget } from './retrybudget.ts'
import { recoveryOf } from './recovery.ts'
import type { RequestSpec } from './requestspec.ts'

type Phase = 'new' | 'routing' | 'sent' | 'waiting' | 'over'
type Answered = Extract<AttemptsEvent, { kind: 'answered' }>

interface Fields {
  readonly spec: RequestSpec
  readonly budget: RetryBudget
  readonly phase: Phase
  /** Number of the newest attempt; 0 before the first. */
  readonly attempt: number
  readonly retries: number
  readonly endpoint: EndpointId | undefined
  readonly avoidedEndpoints: readonly EndpointId[]
  readonly hasRows: boolean
  /** Whether an earlier attempt may have run. */
  readonly mayHaveRun: boolean
  /** Why the last attempt failed. */
  readonly reason: ReasonName
}

interface Step {
  readonly attempts: Attempts
  readonly actions: readonly AttemptsAction[]
}

/** Maximum wait for a change of the groups before a request is routed again. */
const RETRY_DELAY_MS = 20
/** Time after the deadline for the slot owner's answer to arrive: it may know more than the frontend, such as that nothing was sent. */
const ANSWER_GRACE_MS = 250
/** Maximum number of retries elsewhere of a write that isn't urgent; each may find another slot owner. */
const MAX_RETRIES_ELSEWHERE = 3
/** Retry-after time during a failover; a promotion takes about this long. */
const RETRY_AFTER_FAILOVER_MS = 1000
const DEFAULT_RETRY_AFTER_MS = 100

/** The state of one request. Immutable; `step` handles an event and returns the next state. */
export class Attempts {
  private constructor (private readonly fields: Fields) {}

  static create (spec: RequestSpec, budget: RetryBudget): Attempts {
    return new Attempts({
      spec, budget, phase: 'new', attempt: 0, retries: 0, endpoint: undefined, avoidedEndpoints: [], hasRows: false, mayHaveRun: false, reason: 'notSent'
    })
  }

  get isOver (): boolean {
    return this.fields.phase === 'over'
  }

  /** When the next `tick` is due at the latest. */
  get tickDueAt (): Instant {
    const { phase, spec } = this.fields
    return spec.deadline + (phase === 'sent' ? ANSWER_GRACE_MS : 0) as Instant
  }

  step (event: AttemptsEvent, now: Instant): Step {
    const { phase } = this.fields
    if (phase === 'over') return this.idle
    switch (event.kind) {
      case 'start': return phase === 'new' ? this.route(now) : this.idle
      case 'routed': return phase === 'routing' ? this.send(event.endpoint, now) : this.idle
      case 'unroutable': return phase === 'routing' ? this.refused(event.reason, now, false) : this.idle
      case 'rows': return this.isCurrent(event.attempt) ? this.with({ hasRows: true }).idle : this.idle
      case 'answered': return this.isCurrent(event.attempt) ? this.answered(event, now) : this.idle
      case 'resumed': return phase === 'waiting' ? this.route(now) : this.idle
      case 'tick': return now >= this.tickDueAt ? this.expire() : this.idle
      case 'left': return this.abandon()
    }
  }

  /** Whether the attempt is the current one; late events of earlier attempts are ignored. */
  private isCurrent (attempt: number): boolean {
    return this.fields.phase === 'sent' && this.fields.attempt === attempt
  }

  private route (now: Instant): Step {
    const { avoidedEndpoints: avoid } = this.fields
    return this.to({ phase: 'routing' }, { kind: 'route', ms: this.left(now), avoid })
  }

  private send (endpoint: EndpointId, now: Instant): Step {
    if (now >= this.fields.spec.deadline) return this.expire()
    const attempt = this.fields.attempt + 1
    return this.to({ phase: 'sent', attempt, endpoint }, { kind: 'send', attempt, endpoint, ms: this.left(now) })
  }

  private answered (event: Answered, now: Instant): Step {
    const { outcome, reason } = event
    switch (outcome) {
      case 'done': return this.end({ kind: 'answer', retryAfterMs: 0 })
      case 'failed': return this.fields.mayHaveRun ? this.refuse('lost') : this.end({ kind: 'answer', retryAfterMs: 0 })
      case 'notRun': return this.refused(reason, now, true)
      case 'unknown': return this.handleUnknownOutcome(reason ?? 'lost', now)
    }
  }

  /** Handles an attempt in which nothing ran. The caller is answered at once, unless a retry can help, so that it can retry elsewhere. */
  private refused (reason: ReasonName | undefined, now: Instant, wasSent: boolean): Step {
    const { spec, hasRows } = this.fields
    const next = this.with({ reason: reason ?? 'notSent' })
    const isAlone = spec.place === 'alone' || spec.place === 'begin'
    if (isAlone && !hasRows && next.canRetryHelp(reason) && next.canRetry(now, wasSent && next.usesBudget(reason))) return next.retry()
    // A key that is settled as not run excludes the earlier attempts as well.
    if (this.fields.mayHaveRun && reason !== 'voided') return next.refuse('lost')
    const retryAfterMs = retryAfterFor(reason)
    return next.end(wasSent || reason === undefined ? { kind: 'answer', retryAfterMs } : { kind: 'refuse', reason, retryAfterMs })
  }

  private canRetryHelp (reason: ReasonName | undefined): boolean {
    const { spec, retries } = this.fields
    const recovery = recoveryOf(reason)
    if (recovery === 'never') return false
    if (recovery === 'firstSample') return true
    if (spec.waitsForPrimary) return true
    return recovery === 'elsewhere' && (spec.isRead || retries < MAX_RETRIES_ELSEWHERE)
  }

  /** Handles an attempt that may have run. It's retried only if a second run is harmless and no part of a result was passed on. */
  private handleUnknownOutcome (reason: ReasonName, now: Instant): Step {
    const { spec, hasRows } = this.fields
    if (this.isRolledBack) return this.refuse('lostTransaction')
    const next = this.with({ mayHaveRun: true, reason })
    const isRepeatable = (spec.isRead || spec.hasIdempotencyKey) && spec.place === 'alone' && !hasRows
    if (isRepeatable && next.canRetryHelp(reason) && next.canRetry(now, true)) return next.retry()
    return next.end({ kind: 'answer', retryAfterMs: 0 })
  }

  /**
   * Whether the loss of the attempt proves that its transaction was rolled back: COMMIT wasn't sent, so the endpoint can only roll back
   * when the connection closes. A statement that may commit implicitly is an exception.
   */
  private get isRolledBack (): boolean {
    const { spec } = this.fields
    return (spec.place === 'inside' || spec.place === 'begin') && !spec.mayCommitImplicitly
  }

  /**
   * Whether a retry counts against the budget: only if it loads an endpoint again. Waiting for a promotion is free, and so are retries at
   * a slot that can't reach the dead primary yet; otherwise urgent writes would use up the budget before the failover starts.
   */
  private usesBudget (reason: ReasonName | undefined): boolean {
    return recoveryOf(reason) === 'elsewhere' && !this.fields.spec.waitsForPrimary
  }

  private canRetry (now: Instant, costs: boolean): boolean {
    const { spec, budget } = this.fields
    return now + RETRY_DELAY_MS < spec.deadline && (!costs || budget.tryTakeRetry(now))
  }

  private retry (): Step {
    const { avoidedEndpoints, endpoint, retries } = this.fields
    const avoided = endpoint === undefined || avoidedEndpoints.includes(endpoint) ? avoidedEndpoints : [...avoidedEndpoints, endpoint]
    return this.to({ phase: 'waiting', avoidedEndpoints: avoided, retries: retries + 1 }, { kind: 'wait', ms: RETRY_DELAY_MS })
  }

  private expire (): Step {
    const { phase, attempt, reason } = this.fields
    if (phase !== 'sent') return this.refuse(this.fields.mayHaveRun ? 'deadline' : reason)
    const ended = this.refuse(this.isRolledBack ? 'lostTransaction' : 'deadline')
    return { attempts: ended.attempts, actions: [{ kind: 'cancel', attempt }, ...ended.actions] }
  }

  private abandon (): Step {
    const { phase, attempt, mayHaveRun } = this.fields
    if (phase !== 'sent') return this.refuse(mayHaveRun ? 'lost' : 'notSent')
    const ended = this.refuse(this.isRolledBack ? 'lostTransaction' : 'lost')
    return { attempts: ended.attempts, actions: [{ kind: 'cancel', attempt }, ...ended.actions] }
  }

  private refuse (reason: ReasonName): Step {
    return this.end({ kind: 'refuse', reason, retryAfterMs: reasons[reason].provesNotRun ? retryAfterFor(reason) : 0 })
  }

  private end (action: AttemptsAction): Step {
    return this.to({ phase: 'over' }, action)
  }

  private left (now: Instant): number {
    return Math.max(1, Math.ceil(this.fields.spec.deadline - now))
  }

  private to (change: Partial<Fields>, action: AttemptsAction): Step {
    return { attempts: this.with(change), actions: [action] }
  }

  private get idle (): Step {
    return { attempts: this, actions: [] }
  }

  private with (change: Partial<Fields>): Attempts {
    return new Attempts({ ...this.fields, ...change })
  }
}

function retryAfterFor (reason: ReasonName | undefined): number {
  return recoveryOf(reason) === 'newPrimary' ? RETRY_AFTER_FAILOVER_MS : DEFAULT_RETRY_AFTER_MS
}
