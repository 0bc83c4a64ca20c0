/**
 * The run of one request on the slot owner's side: from obtaining a connection to the outcome.
 *
 * Two invariants hold. An obtained connection is returned or kept exactly once, and it's returned as `clean` only if the server's last
 * status shows no open transaction and no answer is outstanding. And "not run" is reported only with one of the proofs listed in
 * docs/PROOFS.md.
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

/** The state of one run. Immutable; `step` handles an event and returns the next state. */
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
      case 'released': return this.loseConnection('lost', 'its transaction was abandoned')
      case 'confirmed': return phase.kind === 'confirming' ? this.confirmed(phase.last, event.holds) : this.idle
      case 'deadline': return this.deadline()
      case 'cancelled': return this.cancel()
    }
  }

  /** A connection that is obtained after the end hasn't been used for this request. */
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
   * A write is acknowledged only if a second server has it in the same term. A replaced primary may still answer OK, but nobody confirms
   * its writes, since a majority of the group is sealed.
   */
  private confirmed (last: RunAction, holds: boolean): Step {
    return holds ? this.to({ kind: 'over' }, last) : this.refuse('unconfirmed')
  }

  /** Without a position a write may still have changed something: some endpoints report no positions. */
  private refuseUnproved (): Step {
    return this.refuse(this.spec.access === 'write' ? 'unconfirmed' : 'unproved')
  }

  /** Closes the connection: an answer is outstanding on it, or a transaction may be open. */
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

  /** Ends without an outcome, since nobody expects one. A connection with an outstanding answer is closed. */
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
