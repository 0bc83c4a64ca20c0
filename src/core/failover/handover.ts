/**
 * The steps of a planned handover from a leaving primary.
 *
 * It begins by sealing the leaving primary alone. From then on new writes are
 * refused as not run and retried, and its log is final. Its replicas are still
 * in the old term, so writes in progress are confirmed while the replicas copy
 * the rest. The first replica that has the whole log is sealed as well, and the
 * two votes are counted as in a round of seals.
 */

import type { Group } from '../group/group.ts'
import type { Sample } from '../group/sample.ts'
import type { Instant } from '../id/instant.ts'
import type { Term } from '../id/term.ts'
import type { FailoverAction } from './action.ts'
import { Ballot } from './ballot.ts'
import { groupActions } from './groupactions.ts'
import type { Phase } from './phase.ts'

type HandoverPhase = Extract<Phase, { kind: 'handover' }>

/** The monitor's next phase, with the actions that go with it. */
interface Transition {
  readonly phase: Phase
  readonly actions: readonly FailoverAction[]
}

export const handover = {
  /** The cause that is recorded with the promotion, also when the handover fails and a round of seals follows. */
  cause: 'the primary is leaving',

  /** Returns undefined while no replica of the primary's term could take over. */
  begin (group: Group, primary: Sample, term: Term, until: Instant): Transition | undefined {
    const hasSuccessor = group.samples.some(one =>
      one.endpoint !== primary.endpoint && one.reachable && one.role === 'replica' && one.term === primary.term)
    if (!hasSuccessor) return undefined
    return {
      phase: { kind: 'handover', term, until, held: undefined },
      actions: [{ kind: 'seal', endpoint: primary.endpoint, term }]
    }
  },

  /** The leaving primary is sealed, so its log is final; the replicas are asked how much of it they have. */
  primarySealed (phase: HandoverPhase, held: Sample, group: Group): Transition {
    return { phase: { ...phase, held }, actions: groupActions.probe(group, held.endpoint) }
  },

  /** Seals a replica that has the whole log of the primary, and probes it again otherwise. */
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
