/**
 * The run of one request, on the slot owner's side: from its borrowing of a
 * connection to its outcome.
 *
 * Two invariants. A connection that was obtained is given back or kept exactly
 * once, and given back as `clean` only when the server's last status shows no
 * transaction and no answer is outstanding on it. And "not run" is said only
 * on the proofs that docs/PROOFS.md lists.
 */

import type { ReasonName } from '../reasonname.ts'
import { IdempotentScript } from './idempotentscript.ts'
import { PlainScript } from './plainscript.ts'
import type { RunAction } from './runaction.ts'
import type { RunEvent } from './runevent.ts'
import type { RunNext } from './runnext.ts'
import type { RunScript } from './runscript.ts'
import type { RunSpec } from './runspec.ts'
import type { RunStep } from './runstep.ts'

type Phase =
  | { readonly kind: 'new' | 'proving' | 'obtaining' | 'over' }
  | { readonly kind: 'running', readonly step: RunStep }
  | { readonly kind: 'confirming' | 'verifying', readonly last: RunAction }

interface Step {
  readonly run: SlotRun
  readonly actions: readonly RunAction[]
}

/** The state of one run. Immutable; `step` takes an event in and yields the next state. */
export class SlotRun {
  private constructor (
    private readonly spec: RunSpec,
    private readonly script: RunScript,
    private readonly phase: Phase
  ) {}

  static create (spec: RunSpec): SlotRun {
    const isKeyed = spec.access === 'settle' || (spec.hasIdempotencyKey && (spec.access === 'write' || spec.access === 'begin'))
    return new SlotRun(spec, isKeyed ? IdempotentScript.of(spec) : PlainScript.of(spec), { kind: 'new' })
  }

  get isOver (): boolean {
    return this.phase.kind === 'over'
  }

  step (event: RunEvent): Step {
    const { phase } = this
    if (phase.kind === 'over') return this.ignoreAfterEnd(event)
    switch (event.kind) {
      case 'start': return this.start()
      case 'proved': return this.handleProof(event.holds)
      case 'obtained': return phase.kind === 'obtaining' ? this.apply(this.script.first()) : this.idle
      case 'unobtainable': return phase.kind === 'obtaining' ? this.refuse(event.reason, event.detail) : this.idle
      case 'answered': return phase.kind === 'running' ? this.apply(this.script.answered(phase.step, event)) : this.idle
      case 'found': return phase.kind === 'running' ? this.apply(this.script.found(event)) : this.idle
      case 'refused': return phase.kind === 'running' ? this.apply(this.script.refused(phase.step, event)) : this.idle
      case 'lost': return this.loseConnection('lost', event.detail)
      case 'released': return this.loseConnection('lost', 'its transaction was given up')
      case 'confirmed': return phase.kind === 'confirming' ? this.confirmed(phase.last, event.holds) : this.idle
      case 'deadline': return this.deadline()
      case 'cancelled': return this.cancel()
    }
  }

  /** A connection that was obtained after all was over has carried nothing of this request. */
  private ignoreAfterEnd (event: RunEvent): Step {
    return { run: this, actions: event.kind === 'obtained' ? [{ kind: 'giveBack', how: 'clean' }] : [] }
  }

  private start (): Step {
    if (this.phase.kind !== 'new') return this.idle
    if (this.spec.access === 'strict') return this.to({ kind: 'proving' }, { kind: 'prove' })
    return this.to({ kind: 'obtaining' }, { kind: 'obtain' })
  }

  private handleProof (holds: boolean): Step {
    const { phase } = this
    if (phase.kind !== 'proving' && phase.kind !== 'verifying') return this.idle
    if (holds && phase.kind === 'verifying') return this.to({ kind: 'over' }, phase.last)
    if (!holds) return this.refuseUnproved()
    return this.to({ kind: 'obtaining' }, { kind: 'obtain' })
  }

  private apply (next: RunNext<RunScript>): Step {
    switch (next.kind) {
      case 'send': {
        const run = new SlotRun(this.spec, next.script, { kind: 'running', step: next.step })
        return { run, actions: [{ kind: 'send', step: next.step, counts: next.counts }] }
      }
      case 'end': return this.to({ kind: 'over' }, next.back, next.last)
      case 'prove': return this.to({ kind: 'verifying', last: next.last }, next.back, { kind: 'prove' })
      case 'confirm': return this.to({ kind: 'confirming', last: next.last }, next.back, { kind: 'confirm', token: next.token })
    }
  }

  /**
   * A write is acknowledged only when a second server has it in the same term.
   * Against a primary that was replaced and doesn't know: it still answers OK,
   * but a majority is sealed, so nobody confirms to it.
   */
  private confirmed (last: RunAction, holds: boolean): Step {
    return holds ? this.to({ kind: 'over' }, last) : this.refuse('unconfirmed')
  }

  /** A write without a position isn't known to have changed nothing: an endpoint may not tell positions at all. */
  private refuseUnproved (): Step {
    return this.refuse(this.spec.access === 'write' ? 'unconfirmed' : 'unproved')
  }

  /** The connection must go: an answer is outstanding on it, or a transaction may be open. */
  private loseConnection (reason: 'lost' | 'deadline', detail: string): Step {
    const { phase } = this
    if (phase.kind !== 'running') return this.idle
    const name = this.script.lossReason(phase.step, reason)
    return this.to({ kind: 'over' }, { kind: 'giveBack', how: 'close' }, { kind: 'refuse', reason: name, detail })
  }

  private deadline (): Step {
    switch (this.phase.kind) {
      case 'proving':
      case 'verifying': return this.refuseUnproved()
      case 'running': return this.loseConnection('deadline', '')
      case 'confirming': return this.refuse('unconfirmed')
      default: return this.refuse('busy')
    }
  }

  /** Nobody is left to take an answer, so its connection must not be used for another's. */
  private cancel (): Step {
    const over = this.to({ kind: 'over' })
    if (this.phase.kind !== 'running') return over
    return { run: over.run, actions: [{ kind: 'giveBack', how: 'close' }] }
  }

  private refuse (reason: ReasonName, detail = ''): Step {
    return this.to({ kind: 'over' }, { kind: 'refuse', reason, detail })
  }

  private to (phase: Phase, ...actions: readonly RunAction[]): Step {
    return { run: new SlotRun(this.spec, this.script, phase), actions }
  }

  private get idle (): Step {
    return { run: this, actions: [] }
  }
}
