/** What the connections of callers share in one process. */

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
  /** The owner of a slot of the endpoint, nearest first; undefined while nobody holds one. */
  readonly port: (endpoint: EndpointId) => SlotPort | undefined
  /** Of this process. */
  readonly dataCentre: DataCentreId
  /** A number in [0, 1) from the process's one seeded generator. */
  readonly chance: () => number
  readonly deadlineMs: number
  /** Limits retries over all requests; none when left out. */
  readonly retryBudget?: SharedRetryBudget
  readonly now: () => Instant
  readonly metrics: Metrics
  readonly audit: Audit
}
