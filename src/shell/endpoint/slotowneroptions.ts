/** Options of a `SlotOwner`. */

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
  /** Connections of the slot, those reserved for control included. */
  readonly connections: number
  /** Position of the slot in the failover order; 0 acts first. */
  readonly rank: number
  readonly pace: Parameters<typeof failoverTimings>[0]['pace']
  /** Interval between probes. */
  readonly probeMs: number
  readonly probeTimeoutMs: number
  /** Name under which this process proposes terms; unique to its incarnation. */
  readonly proposer: string
  readonly now: () => Instant
  readonly chance: () => number
  readonly log: Log
  /** Confirms a position through the owner of another endpoint's slot. */
  readonly confirmAt: (endpoint: EndpointId, term: Term, position: Position, ms: number) => Promise<Confirmed>
  /** Called with each sample that others should know. */
  readonly onSample: (sample: Sample) => void
  /** Called for each write of a session on the slot before the write is acknowledged. */
  readonly onWrote: (term: Term, position: Position, session: number) => void
  /** Records a promotion. */
  readonly record: (action: Extract<FailoverAction, { kind: 'record' }>) => void
}
