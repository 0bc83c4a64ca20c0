/** A service level that operators promise for a pool, as a share of its requests. */

import type { PoolId } from '../id/pool.ts'

/**
 * - `urgentInTime`: urgent requests that were answered within `withinMs`.
 * - `writesSucceed`: writes that were done, of those that the endpoint didn't refuse for the caller's own error.
 * - `stalenessKept`: reads that rest on evidence of the freshness they were held to.
 * - `replicaShare`: reads, other than strict ones, that a replica answered.
 */
export interface ServiceLevel {
  readonly name: string
  readonly pool: PoolId
  readonly measure: 'urgentInTime' | 'writesSucceed' | 'stalenessKept' | 'replicaShare'
  /** The promised share, between 0 and 1. */
  readonly target: number
  /** For `urgentInTime`; a request's own deadline when absent. */
  readonly withinMs?: number
}
