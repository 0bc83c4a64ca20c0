/** Collects the context of a statement that was refused for lack of capacity. */

import type { Congestion } from '../../../core/pool/statements/congestion.ts'
import type { Fault } from '../../../core/statement/fault.ts'
import { clock } from '../clock.ts'
import type { PoolGroup } from '../group.ts'

interface Refusal {
  readonly group: PoolGroup | undefined
  readonly team: string | undefined
  readonly fault: Fault
  readonly retryAfterMs: number
}

/** Limit on endpoints in an audit record. */
const MAX_ENDPOINTS = 4

/** Undefined for a statement that was refused for another reason. */
export function congestionOf ({ group, team, fault, retryAfterMs }: Refusal): Congestion | undefined {
  if (group === undefined || (fault !== 'busy' && fault !== 'overAllowance')) return undefined
  const leader = team === undefined ? undefined : group.usage.leader(clock.now())
  return {
    team,
    endpoints: group.endpointStats.filter(({ connections, waiting }) => connections > 0 || waiting.some(count => count > 0)).slice(0, MAX_ENDPOINTS).map(({ endpoint, atWork, waiting }) => ({ endpoint, atWork, waiting })),
    largest: leader === undefined ? undefined : { team: leader.team, part: Math.round(leader.part * 100) / 100 },
    retryAfterMs: Math.ceil(retryAfterMs)
  }
}
