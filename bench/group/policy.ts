/** What is varied in the model of a group: who may connect how often, who goes first, and how long unused connections are kept. */

import type { Limits } from '../../src/core/admission/limits.ts'
import type { Instant } from '../../src/core/id/instant.ts'
import type { rankEndpoints } from '../../src/core/pool/reads/rankendpoints.ts'
import type { Policy } from '../load/policy.ts'

export interface GroupPolicy {
  readonly name: string
  /** Connections to an endpoint that one host may have. */
  share (connections: number, hosts: number): number
  /** Decides for the connections of one host to one endpoint. */
  admission (limits: Limits): Policy
  /** Which endpoint a read uses by the time until its answer; undefined where it goes by what waits at its own host. */
  readonly order?: typeof rankEndpoints | undefined
  /** How often hosts report their load to each other, in milliseconds; infinite for never. */
  readonly reportMs?: number | undefined
  /** For how long an unused connection is kept, in milliseconds; undefined for as long as it lasts. `startedAt`, `refusedAt`: of the host, and of its last refused opening. */
  restMs (now: Instant, startedAt: Instant, refusedAt: Instant | undefined): number | undefined
  /** Until when an operation is best started; left out where that plays no part. */
  aim? (askedAt: number, aimMs: number): number
}
