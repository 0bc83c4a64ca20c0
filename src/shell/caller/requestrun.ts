/** Runs one request: routes, sends, retries and cancels its attempts as the state machine `Attempts` decides. */

import { randomUUID } from 'node:crypto'
import { setImmediate as readPending } from 'node:timers/promises'
import { Done_Outcome as DoneOutcome, Run_Access as RunAccess, type Done } from '../../gen/peer_pb.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { Instant } from '../../core/id/instant.ts'
import type { Outcome } from '../../core/outcome.ts'
import type { ReasonName } from '../../core/reasonname.ts'
import { alwaysRetry } from '../../core/request/alwaysretry.ts'
import { Attempts } from '../../core/request/attempts.ts'
import type { AttemptsAction } from '../../core/request/attemptsaction.ts'
import type { AttemptsEvent } from '../../core/request/attemptsevent.ts'
import type { RequestSpec } from '../../core/request/requestspec.ts'
import type { Hints } from '../../core/routing/hints.ts'
import { fingerprint } from '../../core/session/fingerprint.ts'
import type { Audit } from '../audit/audit.ts'
import type { Reply } from '../mysql/reply.ts'
import { refusal } from '../peer/refusal.ts'
import type { CallerContext } from './context.ts'
import type { Identity } from './identity.ts'
import { relay } from './relay.ts'
import type { Target } from './target.ts'

interface Request {
  readonly sql: string
  /** The kind of statement, as a metric label. */
  readonly kind: string
  readonly identity: Identity
  readonly hints: Hints
  /** The idempotency key; empty for a request without one. */
  readonly once: string
  readonly spec: RequestSpec
  /** Whether the caller expects rows in the binary protocol. */
  readonly isBinary: boolean
  readonly target: (ms: number, avoid: readonly EndpointId[]) => Promise<Target>
}

/** Resolves with the request's outcome. `signal` aborts when the caller disconnects. */
export async function runRequest (context: CallerContext, req: Request, reply: Reply, signal: AbortSignal): Promise<Done> {
  return await new Promise(resolve => RequestRun.start(context, req, reply, signal, resolve))
}

type EndpointTarget = Extract<Target, { kind: 'endpoint' }>

class RequestRun {
  private attempts: Attempts
  private target: Target | undefined
  private last: Done | undefined
  /** Cancels the latest attempt. */
  private cancel: (() => void) | undefined
  private timer: NodeJS.Timeout | undefined
  private readonly request = randomUUID()
  private readonly trail: ReturnType<Audit['begin']>
  private attemptStartedAt: Instant
  /** Whether the latest attempt was sent and has no answer yet. */
  private isAwaitingAnswer = false
  private readonly onCallerLeft = (): void => this.handleEvent({ kind: 'left' })

  private constructor (
    private readonly context: CallerContext,
    private readonly req: Request,
    private readonly reply: Reply,
    private readonly signal: AbortSignal,
    private readonly resolve: (done: Done) => void
  ) {
    this.attempts = Attempts.create(req.spec, context.retryBudget ?? alwaysRetry)
    this.attemptStartedAt = context.now()
    this.trail = context.audit.begin({ ...req, deadline: req.spec.deadline })
  }

  static start (context: CallerContext, req: Request, reply: Reply, signal: AbortSignal, resolve: (done: Done) => void): void {
    const it = new RequestRun(context, req, reply, signal, resolve)
    if (it.signal.aborted) return it.finish(refusal(0, 'notSent'))
    it.signal.addEventListener('abort', it.onCallerLeft, { once: true })
    it.scheduleTick()
    it.handleEvent({ kind: 'start' })
  }

  /** Timers run before sockets are read, so the answer may have arrived that this process was too busy to read. */
  private scheduleTick (): void {
    const ms = Math.max(1, this.attempts.tickDueAt - this.context.now())
    this.timer = setTimeout(async () => {
      await readPending()
      this.handleEvent({ kind: 'tick' })
      if (!this.attempts.isOver) this.scheduleTick()
    }, ms)
  }

  private handleEvent (event: AttemptsEvent): void {
    const step = this.attempts.step(event, this.context.now())
    this.attempts = step.attempts
    for (const action of step.actions) this.performAction(action)
  }

  private performAction (action: AttemptsAction): void {
    switch (action.kind) {
      case 'route':
        this.route(action.ms, action.avoid)
        return
      case 'send':
        this.send(action.attempt, action.ms)
        return
      case 'wait':
        this.context.groups.waitForChange(action.ms).then(() => this.handleEvent({ kind: 'resumed' }))
        return
      case 'cancel': return this.cancel?.()
      case 'answer': return this.finish(withRetryAfter(this.last!, action.retryAfterMs))
      case 'refuse': return this.finish(refusal(0, action.reason, '', action.retryAfterMs))
    }
  }

  private handleUnroutable (reason: ReasonName): void {
    this.trail.addAttempt({ kind: 'nowhere', reason }, refusal(0, reason), this.attemptStartedAt)
    this.handleEvent({ kind: 'unroutable', reason })
  }

  private async route (ms: number, avoid: readonly EndpointId[]): Promise<void> {
    this.attemptStartedAt = this.context.now()
    const target = await this.req.target(ms, avoid)
    this.target = target
    if (target.kind === 'nowhere') return this.handleUnroutable(target.reason)
    const port = target.port ?? this.context.port(target.endpoint)
    if (port === undefined) return this.handleUnroutable('noSlotOwner')
    this.target = { ...target, port }
    this.handleEvent({ kind: 'routed', endpoint: target.endpoint })
  }

  private async send (attempt: number, ms: number): Promise<void> {
    const { req } = this
    const { endpoint, access, transaction, port } = this.target as EndpointTarget
    this.cancel = undefined
    this.isAwaitingAnswer = true
    const done = await relay(port, {
      endpoint,
      sql: req.sql,
      access,
      transaction,
      deadlineMs: ms,
      class: req.hints.fields.class ?? 'normal',
      caller: req.identity.caller,
      request: this.request,
      once: req.once,
      session: fingerprint(req.hints.fields.session ?? req.identity.session),
      term: 0,
      position: 0,
      database: req.identity.group.database
    }, this.reply, req.isBinary, cancel => { this.cancel = cancel })
    if (this.attempts.isOver) return
    this.isAwaitingAnswer = false
    this.last = done
    this.trail.addAttempt(this.target!, done, this.attemptStartedAt)
    if (this.reply.hasStarted) this.handleEvent({ kind: 'rows', attempt })
    this.handleEvent({ kind: 'answered', attempt, outcome: outcomeOf(done), reason: done.reason === '' ? undefined : done.reason as ReasonName })
  }

  private finish (done: Done): void {
    clearTimeout(this.timer)
    this.signal.removeEventListener('abort', this.onCallerLeft)
    this.context.metrics.requests.inc({ kind: this.req.kind, place: placeLabel(this.target), outcome: DoneOutcome[done.outcome].toLowerCase() })
    if (this.isAwaitingAnswer) this.trail.addAttempt(this.target!, done, this.attemptStartedAt)
    if (done.outcome === DoneOutcome.DONE) this.context.retryBudget?.recordSuccess()
    this.resolve(this.trail.end(done))
  }
}

/** Adds a retry delay to a refusal that has none. */
function withRetryAfter (done: Done, retryAfterMs: number): Done {
  return done.outcome === DoneOutcome.NOT_RUN && done.retryAfterMs === 0 ? { ...done, retryAfterMs } : done
}

function outcomeOf ({ outcome }: Done): Outcome {
  switch (outcome) {
    case DoneOutcome.DONE: return 'done'
    case DoneOutcome.FAILED: return 'failed'
    case DoneOutcome.NOT_RUN: return 'notRun'
    default: return 'unknown'
  }
}

function placeLabel (target: Target | undefined): string {
  if (target === undefined || target.kind === 'nowhere') return 'none'
  return target.access === RunAccess.READ ? 'replica' : 'primary'
}
