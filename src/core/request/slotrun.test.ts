/** Guards against false outcomes, unclean connections and a second effect of an idempotency key. */

import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { reasons } from '../reason.ts'
import { Token } from '../token.ts'
import type { Counts } from './counts.ts'
import { SlotRun } from './slotrun.ts'
import type { RunAction } from './runaction.ts'
import type { RunEvent } from './runevent.ts'
import type { RunSpec } from './runspec.ts'
import type { RunStep } from './runstep.ts'

const SEED = 20_262
const NONE: Counts = { affected: 0, insertId: 0 }
const of = (access: RunSpec['access'], change: Partial<RunSpec> = {}): RunSpec => ({ access, hasIdempotencyKey: false, mayCommitImplicitly: false, ...change })
const once = of('write', { hasIdempotencyKey: true })
const ok = (isOpen = false, position = 0, hasRows = false): RunEvent =>
  ({ kind: 'answered', counts: NONE, isOpen, hasRows, token: position === 0 ? undefined : Token.of(1, position) })
const err = (code: number, message = ''): RunEvent => ({ kind: 'refused', code, message })
const lost: RunEvent = { kind: 'lost', detail: '' }
const deadline: RunEvent = { kind: 'deadline' }
const READ_ONLY = err(1290, 'running with the --super-read-only option')

/** Feeds events after `start` and `obtained`, and returns a summary of the last one's actions. */
function last (spec: RunSpec, ...events: readonly RunEvent[]): string {
  let run = SlotRun.create(spec)
  let actions: readonly RunAction[] = []
  for (const event of [{ kind: 'start' } as const, { kind: 'obtained' } as const, ...events]) ({ run, actions } = run.step(event))
  return actions.map(summarize).join(', ')
}

function summarize (action: RunAction): string {
  if (action.kind === 'send') return `send ${action.step}`
  if (action.kind === 'giveBack') return action.how
  return action.kind === 'refuse' ? action.reason : action.kind
}

describe('SlotRun', () => {
  it.each<[string, string, RunSpec, RunEvent[]]>([
    ['a write', 'clean, confirm', of('write'), [ok(false, 7)]],
    ['a write that no second server confirms', 'unconfirmed', of('write'), [ok(false, 7), { kind: 'confirmed', holds: false }]],
    ['a write that changed nothing, as a replaced primary may also report', 'clean, prove', of('write'), [ok()]],
    ['a write that changed nothing, proved', 'done', of('write'), [ok(), { kind: 'proved', holds: true }]],
    ['a write that changed nothing, not proved', 'unconfirmed', of('write'), [ok(), { kind: 'proved', holds: false }]],
    ['a write that changed nothing, not proved in time', 'unconfirmed', of('write'), [ok(), deadline]],
    ['a read', 'clean, done', of('read'), [ok()]],
    ['a read that left a transaction open', 'close, done', of('read'), [ok(true)]],
    ['a write at a replaced primary', 'clean, replaced', of('write'), [READ_ONLY]],
    ['a write that another option of the server forbids', 'clean, failed', of('write'), [err(1290, 'running with the --secure-file-priv option')]],
    ['a procedure at a replaced primary may have run in part', 'close, lost', of('write', { mayCommitImplicitly: true }), [READ_ONLY]],
    ['a write cut off by a shutdown may be committed', 'close, lost', of('write'), [err(1053)]],
    ['a write past its deadline', 'close, deadline', of('write'), [deadline]],
    ['an answer after the deadline is ignored', '', of('write'), [deadline, ok(false, 7)]],
    ['a cancelled read', 'close', of('read'), [{ kind: 'cancelled' }]],
    ['BEGIN', 'keep, done', of('begin'), [ok(true)]],
    ['a statement of a transaction', 'keep, done', of('inside'), [ok(true)]],
    ['a statement that ended its transaction', 'close, endedTransaction', of('inside'), [ok(false)]],
    ['an error inside keeps the transaction', 'keep, failed', of('inside'), [err(1064)]],
    ['a deadlock ends the transaction', 'close, lostTransaction', of('inside'), [err(1213)]],
    ['a replaced primary ends the transaction', 'close, lostTransaction', of('inside'), [READ_ONLY]],
    ['a lost connection rolls the transaction back', 'close, lostTransaction', of('inside'), [lost]],
    ['a lost connection proves no rollback if the statement may commit implicitly', 'close, lost', of('inside', { mayCommitImplicitly: true }), [lost]],
    ['the caller abandons the transaction while a statement runs', 'close, lostTransaction', of('inside'), [{ kind: 'released' }]],
    ['COMMIT', 'reset, confirm', of('commit'), [ok(false, 7)]],
    ['COMMIT AND CHAIN', 'close, confirm', of('commit'), [ok(true, 7)]],
    ['a COMMIT without a write, whose reads must be proved', 'reset, prove', of('commit'), [ok()]],
    ['a COMMIT without a write, proved', 'done', of('commit'), [ok(), { kind: 'proved', holds: true }]],
    ['a COMMIT without a write, not proved', 'unproved', of('commit'), [ok(), { kind: 'proved', holds: false }]],
    ['a COMMIT without a write, not proved in time', 'unproved', of('commit'), [ok(), deadline]],
    ['a lost COMMIT', 'close, lost', of('commit'), [lost]],
    ['a COMMIT past its deadline', 'close, deadline', of('commit'), [deadline]],
    ['ROLLBACK', 'reset, done', of('rollback'), [ok()]],
    ['a key is claimed before the statement', 'send claim', once, [ok(true)]],
    ['the ledger is created if it is missing', 'send create', once, [ok(true), err(1146), ok(false)]],
    ['a claim outside of a transaction is not valid', 'close, endedTransaction', once, [ok(true), ok(false)]],
    ['a loss before COMMIT was sent is a rollback', 'close, rolledBack', once, [ok(true), ok(true), lost]],
    ['a deadline before COMMIT was sent is a rollback', 'close, rolledBack', once, [ok(true), ok(true), ok(true), deadline]],
    ['a loss of COMMIT is not a rollback', 'close, lost', once, [ok(true), ok(true), ok(true), ok(true), lost]],
    ['a duplicate is looked up', 'send lookup', once, [ok(true), err(1062), ok(false)]],
    ['a duplicate is answered only once its row is confirmed', 'send touch', once, [ok(true), err(1062), ok(false), { kind: 'found', row: { claim: 'same', counts: NONE } }]],
    ['a key of another statement', 'clean, otherRequest', once, [ok(true), err(1062), ok(false), { kind: 'found', row: { claim: 'other', counts: NONE } }]],
    ['a duplicate of the statement itself', 'clean, failed', once, [ok(true), ok(true), err(1062), ok(false), { kind: 'found', row: undefined }]],
    ['a statement with rows can not be recorded', 'send rollback', once, [ok(true), ok(true), ok(true, 0, true)]],
    ['a rollback that fails closes the connection', 'close, rolledBack', once, [ok(true), err(1146), err(1064)]]
  ])('%s: %s', (_, expected, spec, events) => {
    expect(last(spec, ...events)).toBe(expected)
  })

  // A keyed write is sent again through another proxy while the first try may still run or the primary is replaced. It must take effect
  // at most once. A "done" must survive every failover, and after "not run" there must be no effect.
  it('runs a key at most once and reports its true outcome', () => {
    fc.assert(fc.property(fc.array(commands, { maxLength: 16 }), script => {
      const endpoint = new SimulatedEndpoint()
      const tries = [new SimulatedTry(endpoint, once), new SimulatedTry(endpoint, once), new SimulatedTry(endpoint, once), new SimulatedTry(endpoint, of('settle', { hasIdempotencyKey: true }))]
      for (const command of script) {
        for (let i = 0; i < command.steps; i++) tries[command.who]!.advance('none', command.holds)
        if (command.fault === 'failover') endpoint.failOver(command.keeps)
        else tries[command.who]!.advance(command.fault, command.holds)
      }
      endpoint.failOver(0)
      const problems = [...endpoint.problems, ...tries.flatMap(one => one.problems())]
      expect(problems).toEqual([])
    }), { seed: SEED, numRuns: 30_000 })
  })
})

type Fault = 'none' | 'lostBefore' | 'lostAfter' | 'deadline' | 'cancelled' | 'readOnly' | 'shutdown' | 'failover'

const commands = fc.record({
  who: fc.nat(3),
  steps: fc.nat(8),
  fault: fc.constantFrom<Fault>('none', 'none', 'lostBefore', 'lostAfter', 'deadline', 'cancelled', 'readOnly', 'shutdown', 'failover'),
  holds: fc.integer({ min: 0, max: 4 }).map(n => n > 0),
  keeps: fc.nat(3)
})

interface Commit {
  readonly by: object
  readonly effects: number
  readonly claim: 'same' | 'void' | undefined
}

/** A primary with a log; a failover truncates the log, but never below what a second server confirmed. */
class SimulatedEndpoint {
  readonly problems: string[] = []
  log: Commit[] = []
  confirmed = 0
  term = 1

  get row (): Commit | undefined {
    return this.log.find(one => one.claim !== undefined)
  }

  get effects (): number {
    return this.log.reduce((sum, one) => sum + one.effects, 0)
  }

  commit (entry: Commit): RunEvent {
    if (entry.claim !== undefined && this.row !== undefined) return err(1062)
    this.log.push(entry)
    if (this.effects > 1) this.problems.push('a second effect')
    return { kind: 'answered', counts: NONE, isOpen: false, hasRows: false, token: Token.of(this.term, this.log.length) }
  }

  confirm (token: Token): boolean {
    if (token.term !== this.term) return false
    this.confirmed = Math.max(this.confirmed, token.position)
    return true
  }

  failOver (keeps: number): void {
    this.log = this.log.slice(0, this.confirmed + keeps)
    this.term++
  }
}

/** One try: a run, its connection, and the outcome it reported. */
class SimulatedTry {
  private run: SlotRun
  private due: RunAction | undefined
  private reported: RunAction | undefined
  private isOpen = false
  private claim: Commit['claim']
  private effects = 0
  private term = 0
  private holds = 0
  private isBusy = false
  private readonly faults: string[] = []

  constructor (private readonly endpoint: SimulatedEndpoint, spec: RunSpec) {
    this.run = SlotRun.create(spec)
    this.step({ kind: 'start' })
  }

  advance (fault: Fault, holds: boolean): void {
    const { due, endpoint } = this
    if (fault === 'deadline' || fault === 'cancelled') return this.abandon(fault, holds)
    if (due === undefined) return
    if (due.kind === 'obtain') {
      this.holds++
      this.term = endpoint.term
      return this.step({ kind: 'obtained' })
    }
    if (due.kind === 'confirm') return this.step({ kind: 'confirmed', holds: holds && endpoint.confirm(due.token) })
    if (due.kind !== 'send') return
    if (fault === 'lostBefore' || this.term !== endpoint.term) return this.break()
    if (fault === 'readOnly') return this.step(READ_ONLY)
    if (fault === 'shutdown' && (due.step === 'commit' || due.step === 'void')) {
      if (holds) this.execute(due.step)
      return this.step(err(1053))
    }
    const event = this.execute(due.step)
    if (fault === 'lostAfter') return this.break()
    this.isBusy = false
    this.step(event)
  }

  problems (): string[] {
    const { reported, endpoint } = this
    const { log } = endpoint
    const own = log.some(one => one.by === this && one.effects > 0)
    const found = [...this.faults]
    if (reported?.kind === 'done' && endpoint.effects !== 1) found.push('reported done, but the effect is gone')
    if (reported?.kind === 'failed' && own) found.push('reported failed, but it ran')
    if (reported?.kind === 'refuse' && reasons[reported.reason].provesNotRun && own) found.push('reported not run, but it ran')
    if (reported?.kind === 'refuse' && reported.reason === 'voided' && endpoint.effects !== 0) found.push('reported settled as not run, but it ran')
    return found
  }

  /** Abandons the request; a statement that was already sent may still be executed before the endpoint notices the closed connection. */
  private abandon (kind: 'deadline' | 'cancelled', isRunning: boolean): void {
    const { due } = this
    this.step({ kind })
    if (due?.kind === 'send' && isRunning && this.term === this.endpoint.term) this.execute(due.step)
    this.drop()
  }

  private break (): void {
    this.drop()
    this.step(lost)
  }

  private drop (): void {
    this.isOpen = false
    this.claim = undefined
    this.effects = 0
  }

  private execute (step: RunStep): RunEvent {
    const { endpoint } = this
    const isTaken = endpoint.row !== undefined
    switch (step) {
      case 'begin':
        this.drop()
        this.isOpen = true
        return ok(true)
      case 'claim':
        if (isTaken) return err(1062)
        this.claim = 'same'
        return ok(true)
      case 'statement':
        this.effects = 1
        return ok(true)
      case 'commit': {
        const entry: Commit = { by: this, effects: this.effects, claim: this.claim }
        this.drop()
        return endpoint.commit(entry)
      }
      case 'rollback':
        this.drop()
        return ok()
      case 'void': return endpoint.commit({ by: this, effects: 0, claim: 'void' })
      case 'touch': return endpoint.commit({ by: this, effects: 0, claim: undefined })
      case 'lookup': return { kind: 'found', row: endpoint.row === undefined ? undefined : { claim: endpoint.row.claim!, counts: NONE } }
      default: return ok(this.isOpen)
    }
  }

  private step (event: RunEvent): void {
    const { run, actions } = this.run.step(event)
    this.run = run
    for (const action of actions) this.take(action)
  }

  private take (action: RunAction): void {
    switch (action.kind) {
      case 'giveBack':
        this.holds--
        if (this.holds !== 0) this.faults.push('a connection was returned twice, or never obtained')
        if (action.how !== 'close' && (this.isOpen || this.isBusy)) this.faults.push('an unclean connection was returned')
        return
      case 'send': this.isBusy = true
    }
    if (action.kind === 'done' || action.kind === 'failed' || action.kind === 'refuse') {
      if (this.reported !== undefined) this.faults.push('reported two outcomes')
      this.reported = action
      this.due = undefined
      return
    }
    this.due = action
  }
}
