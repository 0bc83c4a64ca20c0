/**
 * The steps of a planned hand-over from a leaving primary.
 *
 * It begins by sealing the leaving primary alone. That holds new writes, which
 * are refused as not run and tried again, and fixes its log; its replicas are
 * in the old term still, so that writes under way get their confirmations
 * while the replicas copy the rest. The first replica that has all of the log
 * is sealed as well, and the two votes are counted as in a round of seals.
 */

import type { Group } from '../group/group.ts'
import type { Sample } from '../group/sample.ts'
import type { Instant } from '../id/instant.ts'
import type { Term } from '../id/term.ts'
import type { FailoverAction } from './action.ts'
import { Ballot } from './ballot.ts'
import { groupActions } from './groupactions.ts'
import type { Phase } from './phase.ts'

type HandoverPhase = Extract<Phase, { kind: 'handing' }>

/** The monitor's next phase, and what to order with it. */
interface Transition {
  readonly phase: Phase
  readonly actions: readonly FailoverAction[]
}

export const handover = {
  /** The cause that is recorded with the promotion, and given to the rounds that follow a hand-over that failed. */
  cause: 'the primary is leaving',

  /** Undefined while no replica of the primary's term could take its place. */
  begin (group: Group, primary: Sample, term: Term, until: Instant): Transition | undefined {
    const hasHeir = group.samples.some(one =>
      one.endpoint !== primary.endpoint && one.reachable && one.role === 'replica' && one.term === primary.term)
    if (!hasHeir) return undefined
    return {
      phase: { kind: 'handing', term, until, held: undefined },
      actions: [{ kind: 'seal', endpoint: primary.endpoint, term }]
    }
  },

  /** The leaving primary is sealed: its log grows no more, and the others are asked how far they are. */
  primarySealed (phase: HandoverPhase, held: Sample, group: Group): Transition {
    return { phase: { ...phase, held }, actions: groupActions.probe(group, held.endpoint) }
  },

  /** A replica answered: it's sealed when it has all that the primary has, and asked again otherwise. */
  replicaAnswered (phase: HandoverPhase, sample: Sample): Transition {
    const { term, until, held } = phase
    if (held === undefined || sample.role !== 'replica') return { phase, actions: [] }
    if (held.isAheadOf(sample)) return { phase, actions: [{ kind: 'probe', endpoint: sample.endpoint }] }
    return {
      phase: { kind: 'sealing', term, until, ballot: Ballot.empty.withSeal(held), cause: handover.cause },
      actions: [{ kind: 'seal', endpoint: sample.endpoint, term }]
    }
  }
}
