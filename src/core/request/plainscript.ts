/** Runs the caller's statement without an idempotency key. */

import type { ReasonName } from '../reasonname.ts'
import type { Counts } from './counts.ts'
import { errorKind } from './endpointerror.ts'
import type { RunAction } from './runaction.ts'
import type { RunEvent } from './runevent.ts'
import type { RunNext } from './runnext.ts'
import type { RunScript } from './runscript.ts'
import type { RunSpec } from './runspec.ts'
import type { RunStep } from './runstep.ts'

type Answered = Extract<RunEvent, { kind: 'answered' }>
type Refused = Extract<RunEvent, { kind: 'refused' }>
type FinalAction = Extract<RunNext<RunScript>, { kind: 'end' }>['last']

const NO_COUNTS: Counts = { affected: 0, insertId: 0 }

/** The script of a run without an idempotency key. Immutable. */
export class PlainScript implements RunScript {
  private constructor (private readonly spec: RunSpec) {}

  static of (spec: RunSpec): PlainScript {
    return new PlainScript(spec)
  }

  first (): RunNext<RunScript> {
    return { kind: 'send', script: this, step: 'statement', counts: NO_COUNTS }
  }

  answered (_step: RunStep, event: Answered): RunNext<RunScript> {
    switch (this.spec.access) {
      case 'begin': return event.isOpen ? kept(event) : endAndClose(refuse('lostTransaction', 'no transaction began'))
      // A statement that ended its transaction has implicitly committed what came before it.
      case 'inside': return event.isOpen ? kept(event) : endAndClose(refuse('endedTransaction'))
      case 'commit': return event.token === undefined ? endAfterProof(event, 'reset') : endAfterConfirmation(event, 'reset')
      case 'rollback': return endAfterConfirmation(event, 'reset')
      case 'write': return event.token === undefined ? endAfterProof(event, 'clean') : endAfterConfirmation(event, 'clean')
      default: return endAfterConfirmation(event, 'clean')
    }
  }

  found (): RunNext<RunScript> {
    return endAndClose(refuse('lost'))
  }

  refused (_step: RunStep, event: Refused): RunNext<RunScript> {
    const { access, mayCommitImplicitly } = this.spec
    const failed: FinalAction = { kind: 'failed', code: event.code, message: event.message }
    const isRead = access === 'read' || access === 'strict'
    const kind = errorKind(event.code, event.message)
    if (kind === 'unclear' && !isRead) return endAndClose(refuse(this.lossReason('statement', 'lost'), event.message))
    // A procedure may have committed its first statements before one was refused.
    if (kind === 'readOnly' && mayCommitImplicitly) return endAndClose(refuse('lost', event.message))
    switch (access) {
      case 'begin': return endAndClose(kind === 'readOnly' ? refuse('replaced') : failed)
      case 'commit':
      case 'rollback':
      case 'inside':
        if (kind === 'readOnly' || kind === 'rolledBack') return endAndClose(refuse('lostTransaction', event.message))
        return access === 'inside' ? { kind: 'end', back: { kind: 'keep' }, last: failed } : endAndClose(failed)
      default: return { kind: 'end', back: { kind: 'giveBack', how: 'clean' }, last: kind === 'readOnly' ? refuse('replaced') : failed }
    }
  }

  /** Until COMMIT is sent, the endpoint can only roll back when the connection closes. */
  lossReason (_step: RunStep, reason: 'lost' | 'deadline'): ReasonName {
    const { access, mayCommitImplicitly } = this.spec
    const isUndone = access === 'begin' || access === 'rollback' || (access === 'inside' && !mayCommitImplicitly)
    return isUndone ? 'lostTransaction' : reason
  }
}

function kept (event: Answered): RunNext<RunScript> {
  return { kind: 'end', back: { kind: 'keep' }, last: { kind: 'done', counts: event.counts, token: undefined, isOpen: true } }
}

/**
 * Ends with a proof that the endpoint is the current primary. A statement or transaction that wrote nothing has nothing to confirm, but on
 * a primary that is cut off from its group it may have read stale data. As terms only grow, a later proof covers all that it read.
 */
function endAfterProof ({ counts, isOpen }: Answered, how: 'clean' | 'reset'): RunNext<RunScript> {
  return {
    kind: 'prove',
    back: { kind: 'giveBack', how: isOpen ? 'close' : how },
    last: { kind: 'done', counts, token: undefined, isOpen: false }
  }
}

function endAfterConfirmation (event: Answered, how: 'clean' | 'reset'): RunNext<RunScript> {
  const { counts, token, isOpen } = event
  const back: RunAction = { kind: 'giveBack', how: isOpen ? 'close' : how }
  const last: FinalAction = { kind: 'done', counts, token, isOpen: false }
  return token === undefined ? { kind: 'end', back, last } : { kind: 'confirm', back, token, last }
}

function endAndClose (last: FinalAction): RunNext<RunScript> {
  return { kind: 'end', back: { kind: 'giveBack', how: 'close' }, last }
}

function refuse (reason: ReasonName, detail = ''): FinalAction {
  return { kind: 'refuse', reason, detail }
}
