/** Dependencies that all caller connections of a process share. */

import type { Config } from '../../core/config/config.ts'
import type { DataCentreId } from '../../core/id/datacentre.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { HostId } from '../../core/id/host.ts'
import type { Instant } from '../../core/id/instant.ts'
import type { SharedRetryBudget } from '../../core/retry/sharedretrybudget.ts'
import type { SessionTable } from '../../core/session/sessiontable.ts'
import type { Audit } from '../audit/audit.ts'
import type { Metrics } from '../metrics/metrics.ts'
import type { SlotPort } from '../peer/slotport.ts'
import type { Groups } from './groups.ts'

export interface CallerContext {
  readonly host: HostId
  readonly config: () => Config | undefined
  readonly groups: Groups
  readonly sessions: SessionTable
  /** The nearest owner of a slot of the endpoint; undefined when no slot has an owner. */
  readonly port: (endpoint: EndpointId) => SlotPort | undefined
  /** The data centre of this process. */
  readonly dataCentre: DataCentreId
  /** Returns a number in [0, 1) from the process's seeded random generator. */
  readonly chance: () => number
  /** Deadline of requests that name none, in milliseconds from their arrival. */
  readonly deadlineMs: number
  /** Limits retries over all requests; retries are unlimited without it. */
  readonly retryBudget?: SharedRetryBudget
  readonly now: () => Instant
  readonly metrics: Metrics
  readonly audit: Audit
}
