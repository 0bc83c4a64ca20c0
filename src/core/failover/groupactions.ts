/** Builds the actions that go to several endpoints of a group. */

import type { Group } from '../group/group.ts'
import type { Sample } from '../group/sample.ts'
import type { EndpointId } from '../id/endpoint.ts'
import type { Term } from '../id/term.ts'
import type { FailoverAction } from './action.ts'

/** One action for each endpoint except `except`. */
export const groupActions = {
  probe (group: Group, except?: EndpointId): readonly FailoverAction[] {
    return endpointsExcept(group, except).map(endpoint => ({ kind: 'probe', endpoint }))
  },

  seal (group: Group, term: Term, except?: EndpointId): readonly FailoverAction[] {
    return endpointsExcept(group, except).map(endpoint => ({ kind: 'seal', endpoint, term }))
  },

  follow (group: Group, primary: EndpointId, term: Term): readonly FailoverAction[] {
    return endpointsExcept(group, primary).map(endpoint => ({ kind: 'follow', endpoint, primary, term }))
  },

  /**
   * Makes an endpoint follow the primary when it was cut off during a promotion.
   * Such a server shows an old term or another role in its sample, and refuses
   * to confirm writes of the primary until it is told to follow it.
   */
  rejoin (sample: Sample, primary: Sample): readonly FailoverAction[] {
    const isBehind = sample.term < primary.term || sample.role !== 'replica'
    if (!isBehind || !sample.reachable) return []
    return [{ kind: 'follow', endpoint: sample.endpoint, primary: primary.endpoint, term: primary.term }]
  }
}

function endpointsExcept (group: Group, except?: EndpointId): readonly EndpointId[] {
  return group.samples.map(sample => sample.endpoint).filter(endpoint => endpoint !== except)
}
