/** Guards against harmful retries and against a false "not run". */

import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { EndpointId } from '../id/endpoint.ts'
import type { Instant } from '../id/instant.ts'
import type { Outcome } from '../outcome.ts'
import { reasons } from '../reason.ts'
import type { ReasonName } from '../reasonname.ts'
import { alwaysRetry } from './alwaysretry.ts'
import { Attempts } from './attempts.ts'
import type { AttemptsAction } from './attemptsaction.ts'
import type { AttemptsEvent } from './attemptsevent.ts'
import type { RequestSpec } from './requestspec.ts'

const SEED = 20_261
const DEADLINE = 1000 as Instant
const endpoint = 'shop-1' as EndpointId
const spec = (change: Partial<RequestSpec> = {}): RequestSpec => ({
  isRead: false, hasIdempotencyKey: false, place: 'alone', mayCommitImplicitly: false, waitsForPrimary: false, deadline: DEADLINE, ...change
})
const answered = (outcome: Outcome, reason?: ReasonName, attempt = 1): AttemptsEvent => ({ kind: 'answered', attempt, outcome, reason })
const routed: AttemptsEvent = { kind: 'routed', endpoint }

/** Feeds events at instant 0 and returns a summary of the last one's actions. */
function last (of: RequestSpec, ...events: readonly AttemptsEvent[]): string {
  let attempts = Attempts.create(of, alwaysRetry)
  let actions: readonly AttemptsAction[] = []
  for (const event of [{ kind: 'start' } as const, ...events]) ({ attempts, actions } = attempts.step(event, 0 as Instant))
  return actions.map(action => action.kind === 'refuse' ? `refuse ${action.reason}` : action.kind).join(', ')
}

describe('Attempts', () => {
  it.each<[string, string, RequestSpec, AttemptsEvent[]]>([
    ['a normal write is refused at once during a failover', 'refuse noPrimary', spec(), [{ kind: 'unroutable', reason: 'noPrimary' }]],
    ['a normal write waits while its group is not sampled yet', 'wait', spec(), [{ kind: 'unroutable', reason: 'notSampled' }]],
    ['an urgent write waits for the new primary', 'wait', spec({ waitsForPrimary: true }), [{ kind: 'unroutable', reason: 'noPrimary' }]],
    ['a normal write that was refused by a replaced primary', 'answer', spec(), [routed, answered('notRun', 'replaced')]],
    ['an urgent write that was refused by a replaced primary', 'wait', spec({ waitsForPrimary: true }), [routed, answered('notRun', 'replaced')]],
    ['a write whose slot owner is gone is routed to another', 'wait', spec(), [routed, answered('notRun', 'noSlotOwner')]],
    ['a write whose answer was lost is never retried', 'answer', spec({ waitsForPrimary: true }), [routed, answered('unknown', 'lost')]],
    ['a read whose answer was lost is retried', 'wait', spec({ isRead: true }), [routed, answered('unknown', 'lost')]],
    ['a read is not retried once rows were passed on', 'answer', spec({ isRead: true }), [routed, { kind: 'rows', attempt: 1 }, answered('unknown', 'lost')]],
    ['a request with an idempotency key is retried under it', 'wait', spec({ hasIdempotencyKey: true }), [routed, answered('unknown', 'lost')]],
    ['a statement of a lost transaction', 'refuse lostTransaction', spec({ place: 'inside' }), [routed, answered('unknown', 'lost')]],
    ['a procedure of a lost transaction', 'answer', spec({ place: 'inside', mayCommitImplicitly: true }), [routed, answered('unknown', 'lost')]],
    ['a lost COMMIT is unknown', 'answer', spec({ place: 'commit' }), [routed, answered('unknown', 'lost')]],
    ['a statement of a transaction is never retried', 'answer', spec({ place: 'inside', waitsForPrimary: true }), [routed, answered('notRun', 'noSlotOwner')]],
    ['the attempt of a caller that disconnected is cancelled', 'cancel, refuse lost', spec(), [routed, { kind: 'left' }]],
    ['an answer to an abandoned attempt is ignored', '', spec({ isRead: true }), [routed, answered('unknown', 'lost'), { kind: 'resumed' }, routed, answered('done')]]
  ])('%s: %s', (_, expected, of, events) => {
    expect(last(of, ...events)).toBe(expected)
  })

  it.each<[number, string]>([[999, ''], [1000, ''], [1250, 'cancel,refuse']])('cancels an unanswered attempt after the grace period, at %i: %s', (now, expected) => {
    const { attempts } = Attempts.create(spec(), alwaysRetry).step({ kind: 'start' }, 0 as Instant)
    const sent = attempts.step(routed, 0 as Instant).attempts
    expect(sent.step({ kind: 'tick' }, now as Instant).actions.map(action => action.kind).join()).toBe(expected)
  })

  it('asks the budget before each retry', () => {
    const spent = Attempts.create(spec({ isRead: true }), { tryTakeRetry: () => false })
    const sent = spent.step({ kind: 'start' }, 0 as Instant).attempts.step(routed, 0 as Instant).attempts
    expect(sent.step(answered('notRun', 'unreachable'), 0 as Instant).actions[0]?.kind).toBe('answer')
  })

  // A first try may have run although a second one surely didn't. If "not run" were reported for both, the caller would run the statement
  // again and apply it twice. In any order of events "not run" must hold for all tries.
  it('says "not run" or "failed" only when no attempt ran, and ends once', () => {
    fc.assert(fc.property(specs, fc.array(events, { maxLength: 40 }), (of, script) => {
      const simulation = new Simulation(of)
      for (const event of script) simulation.handle(event)
      expect(simulation.problems).toEqual([])
    }), { seed: SEED, numRuns: 20_000 })
  })
})

const specs = fc.record({
  isRead: fc.boolean(),
  hasIdempotencyKey: fc.boolean(),
  place: fc.constantFrom('alone', 'begin', 'inside', 'commit'),
  mayCommitImplicitly: fc.constant(false),
  waitsForPrimary: fc.boolean(),
  deadline: fc.constant(DEADLINE)
}) satisfies fc.Arbitrary<RequestSpec>

const names = Object.keys(reasons) as ReasonName[]
const events = fc.record({
  kind: fc.constantFrom('next', 'next', 'next', 'next', 'rows', 'stale', 'tick', 'left'),
  outcome: fc.constantFrom<Outcome>('done', 'failed', 'notRun', 'unknown', 'unknown'),
  reason: fc.constantFrom(...names),
  isRunning: fc.boolean(),
  isRouted: fc.boolean(),
  ms: fc.constantFrom(0, 0, 0, 0, 20, 300, 1000)
})

/** Simulates the shell and the endpoint: which attempts had an effect, and which outcome was reported. */
class Simulation {
  readonly problems: string[] = []
  private attempts: Attempts
  private due: AttemptsAction | undefined
  private now = 0
  private ran = 0
  private reportCount = 0
  private hasReportedNotRun = false
  private lastOutcome: Outcome = 'notRun'

  constructor (private readonly of: RequestSpec) {
    this.attempts = Attempts.create(of, alwaysRetry)
    this.step({ kind: 'start' })
  }

  handle (event: typeof events extends fc.Arbitrary<infer T> ? T : never): void {
    this.now += event.ms
    if (event.kind === 'tick' || event.kind === 'left') return this.abandon(event.kind, event.isRunning)
    const { due } = this
    if (due === undefined) return
    if (event.kind === 'stale') return this.step({ kind: 'answered', attempt: -1, outcome: 'done', reason: undefined })
    if (due.kind === 'wait') return this.step({ kind: 'resumed' })
    if (due.kind === 'route') return this.step(event.isRouted ? routed : { kind: 'unroutable', reason: 'noPrimary' })
    if (due.kind !== 'send') return
    if (event.kind === 'rows') return this.step({ kind: 'rows', attempt: due.attempt })
    this.answer(due.attempt, event.outcome, event.reason, event.isRunning)
  }

  private answer (attempt: number, outcome: Outcome, reason: ReasonName, isRunning: boolean): void {
    if (reason === 'voided' && this.ran > 0) return
    const isProved = reasons[reason].provesNotRun
    const actual = outcome === 'unknown' && isProved ? 'notRun' : outcome === 'notRun' && !isProved ? 'unknown' : outcome
    if (actual === 'done' || (actual === 'unknown' && isRunning && this.canCommit)) this.ran++
    this.lastOutcome = actual
    this.step({ kind: 'answered', attempt, outcome: actual, reason: actual === 'done' || actual === 'failed' ? undefined : reason })
  }

  /** An attempt that is abandoned while in progress may still run. */
  private abandon (kind: 'tick' | 'left', isRunning: boolean): void {
    const { due } = this
    this.step({ kind })
    const runsLater = due?.kind === 'send' && this.due === undefined && isRunning && this.canCommit
    if (runsLater && this.hasReportedNotRun) this.problems.push('reported "not run", but it ran later')
  }

  private get canCommit (): boolean {
    return this.of.place === 'alone' || this.of.place === 'commit'
  }

  private step (event: AttemptsEvent): void {
    const before = this.ran
    const { attempts, actions } = this.attempts.step(event, this.now as Instant)
    this.attempts = attempts
    for (const action of actions) this.take(action, before)
  }

  private take (action: AttemptsAction, ran: number): void {
    const { isRead, hasIdempotencyKey, place } = this.of
    if (action.kind === 'send' && ran > 0 && !isRead && !hasIdempotencyKey) this.problems.push('a write that may have run was sent again')
    if (action.kind === 'send' && this.now >= DEADLINE) this.problems.push('sent after the deadline')
    if (action.kind === 'send' && place !== 'alone' && place !== 'begin' && action.attempt > 1) this.problems.push('a statement of a transaction was sent again')
    if (action.kind === 'answer' || action.kind === 'refuse') {
      this.reportCount++
      const isNotRun = action.kind === 'refuse' ? reasons[action.reason].provesNotRun : this.lastOutcome === 'notRun' || this.lastOutcome === 'failed'
      this.hasReportedNotRun = isNotRun
      if (isNotRun && ran > 0) this.problems.push('reported "not run", but it ran')
      if (this.reportCount > 1) this.problems.push('answered twice')
    }
    if (action.kind === 'cancel') return
    this.due = action.kind === 'answer' || action.kind === 'refuse' ? undefined : action
  }
}
