/**
 * Runs a statement under an idempotency key: the key's row in the ledger and the effect are committed together or not at all.
 *
 * A try that finds the key taken has no effect and answers with the first try's counts. Before that it writes to the key's row and has
 * that write confirmed by a second server, which covers everything before it in the log.
 */

import { reasons } from '../reason.ts'
import type { ReasonName } from '../reasonname.ts'
import type { Token } from '../token.ts'
import type { Counts } from './counts.ts'
import { errorKind } from './endpointerror.ts'
import type { RunEvent } from './runevent.ts'
import type { RunNext } from './runnext.ts'
import type { RunScript } from './runscript.ts'
import type { RunSpec } from './runspec.ts'
import type { RunStep } from './runstep.ts'

type Answered = Extract<RunEvent, { kind: 'answered' }>
type Found = Extract<RunEvent, { kind: 'found' }>
type Refused = Extract<RunEvent, { kind: 'refused' }>
type FinalAction = Extract<RunNext<RunScript>, { kind: 'end' }>['last']

interface Fields {
  readonly spec: RunSpec
  /** The statement's counts, from this try or from the first. */
  readonly counts: Counts
  /** What follows the rollback in progress. */
  readonly next: 'create' | 'lookup' | FinalAction
  /** The endpoint's error that caused a ledger lookup. */
  readonly refusal: Refused | undefined
  /** The ledger may hold an earlier try, so that this try's failure doesn't prove that nothing ran. */
  readonly isDuplicate: boolean
  readonly isVoid: boolean
  readonly hasCreatedLedger: boolean
}

const NO_COUNTS: Counts = { affected: 0, insertId: 0 }
/** Steps after which the transaction must still be open. */
const STEPS_IN_TRANSACTION: ReadonlySet<RunStep> = new Set(['begin', 'claim', 'statement', 'record'])

/** The state of a run under an idempotency key. Immutable. */
export class IdempotentScript implements RunScript {
  private constructor (private readonly fields: Fields) {}

  static of (spec: RunSpec): IdempotentScript {
    return new IdempotentScript({
      spec, counts: NO_COUNTS, next: 'lookup', refusal: undefined, isDuplicate: false, isVoid: false, hasCreatedLedger: false
    })
  }

  first (): RunNext<RunScript> {
    switch (this.fields.spec.access) {
      case 'settle': return this.send('void')
      case 'begin': return this.send('statement')
      default: return this.send('begin')
    }
  }

  answered (step: RunStep, event: Answered): RunNext<RunScript> {
    const { access } = this.fields.spec
    // Outside of a transaction the key and the effect would be committed separately.
    if (STEPS_IN_TRANSACTION.has(step) && !event.isOpen) return endAndClose(refuse(step === 'begin' ? 'rolledBack' : 'endedTransaction'))
    switch (step) {
      case 'begin': return this.send('claim')
      case 'claim': return access === 'begin' ? this.endAndKeep : this.send('statement')
      case 'statement': return access === 'begin' ? this.send('claim') : this.afterStatement(event)
      case 'record': return this.send('commit')
      case 'commit':
      case 'touch': return this.endAfterConfirmation(event, this.ending(event.token))
      case 'void': return this.endAfterConfirmation(event, refuse('voided'))
      case 'rollback': return this.afterRollback(event.isOpen)
      case 'create': return this.with({ hasCreatedLedger: true }).first()
      case 'lookup': return endAndClose(refuse('lost'))
    }
  }

  found ({ row }: Found): RunNext<RunScript> {
    const { refusal } = this.fields
    const clean = { kind: 'giveBack', how: 'clean' } as const
    if (row === undefined) return { kind: 'end', back: clean, last: { kind: 'failed', code: refusal!.code, message: refusal!.message } }
    if (row.claim === 'other') return { kind: 'end', back: clean, last: refuse('otherRequest') }
    return this.with({ counts: row.counts, isVoid: row.claim === 'void' }).send('touch')
  }

  refused (step: RunStep, event: Refused): RunNext<RunScript> {
    const kind = errorKind(event.code, event.message)
    if (step === 'rollback') return this.afterRollback(true)
    if (step === 'lookup' || step === 'touch') return endAndClose(refuse('lost', event.message))
    if (kind === 'unclear') return endAndClose(refuse(this.lossReason(step, 'lost'), event.message))
    if (kind === 'readOnly') return endAndClose(refuse('replaced'))
    if (kind === 'duplicate') return this.with({ refusal: event, isDuplicate: true }).rollBack('lookup')
    const isMissing = kind === 'noTable' && (step === 'claim' || step === 'void') && !this.fields.hasCreatedLedger
    if (isMissing) return this.rollBack('create')
    return this.rollBack({ kind: 'failed', code: event.code, message: event.message })
  }

  /** Until COMMIT is sent, the endpoint can only roll back when the connection closes. */
  lossReason (step: RunStep, reason: 'lost' | 'deadline'): ReasonName {
    const { isDuplicate, spec } = this.fields
    if (step === 'commit' || step === 'void' || isDuplicate) return reason
    return spec.access === 'begin' ? 'lostTransaction' : 'rolledBack'
  }

  private get endAndKeep (): RunNext<RunScript> {
    return { kind: 'end', back: { kind: 'keep' }, last: { kind: 'done', counts: NO_COUNTS, token: undefined, isOpen: true } }
  }

  private afterStatement (event: Answered): RunNext<RunScript> {
    if (event.hasRows) return this.rollBack(refuse('onceRows'))
    return this.with({ counts: event.counts }).send('record')
  }

  private ending (token: Token | undefined): FinalAction {
    const { counts, isVoid, isDuplicate, spec } = this.fields
    if (isVoid) return refuse('voided')
    if (spec.access !== 'begin') return { kind: 'done', counts, token, isOpen: false, ...isDuplicate ? { isReplay: true } : {} }
    const { code, message } = reasons.alreadyDone
    return { kind: 'failed', code, message }
  }

  /** A write to the ledger can only be confirmed by its position, so without one its outcome is unknown. */
  private endAfterConfirmation (event: Answered, last: FinalAction): RunNext<RunScript> {
    if (event.token === undefined) return endAndClose(refuse('unconfirmed', 'the endpoint reported no log position'))
    return { kind: 'confirm', back: { kind: 'giveBack', how: event.isOpen ? 'close' : 'clean' }, token: event.token, last }
  }

  private rollBack (next: Fields['next']): RunNext<RunScript> {
    return this.with({ next }).send('rollback')
  }

  private afterRollback (isOpen: boolean): RunNext<RunScript> {
    const { next, isDuplicate } = this.fields
    if (typeof next === 'object') return { kind: 'end', back: { kind: 'giveBack', how: isOpen ? 'close' : 'clean' }, last: next }
    if (isOpen) return endAndClose(refuse(isDuplicate ? 'lost' : 'rolledBack'))
    return this.send(next)
  }

  private send (step: RunStep): RunNext<RunScript> {
    return { kind: 'send', script: this, step, counts: this.fields.counts }
  }

  private with (change: Partial<Fields>): IdempotentScript {
    return new IdempotentScript({ ...this.fields, ...change })
  }
}

function endAndClose (last: FinalAction): RunNext<RunScript> {
  return { kind: 'end', back: { kind: 'giveBack', how: 'close' }, last }
}

function refuse (reason: ReasonName, detail = ''): FinalAction {
  return { kind: 'refuse', reason, detail }
}
