/** What the owner of a slot is given. */

import type { Confirmed } from '../../gen/peer_pb.ts'
import type { FailoverAction } from '../../core/failover/action.ts'
import type { Group } from '../../core/group/group.ts'
import type { Sample } from '../../core/group/sample.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { Instant } from '../../core/id/instant.ts'
import type { Position } from '../../core/id/position.ts'
import type { Term } from '../../core/id/term.ts'
import type { Log } from '../log/log.ts'
import type { failoverTimings } from './failovertimings.ts'
import type { Slot } from './slot.ts'

type Address = Parameters<typeof Slot.create>[0]

export interface SlotOwnerOptions {
  readonly endpoint: EndpointId
  readonly group: Group
  /** Data and control addresses of every endpoint of the group. */
  readonly addresses: ReadonlyMap<EndpointId, { readonly data: Address, readonly control: Address }>
  readonly connections: number
  /** 0 for the slot whose owner judges the endpoint first. */
  readonly rank: number
  readonly pace: Parameters<typeof failoverTimings>[0]['pace']
  readonly probeMs: number
  readonly probeTimeoutMs: number
  /** This process's name as a proposer of terms; unique for the process's life. */
  readonly proposer: string
  readonly now: () => Instant
  readonly chance: () => number
  readonly log: Log
  /** Asks the owner of another endpoint's slot. */
  readonly confirmAt: (endpoint: EndpointId, term: Term, position: Position, ms: number) => Promise<Confirmed>
  readonly onSample: (sample: Sample) => void
  /** Hears of every write on the slot before it's acknowledged to anybody. */
  readonly onWrote: (term: Term, position: Position, session: number) => void
  readonly record: (action: Extract<FailoverAction, { kind: 'record' }>) => void
}
