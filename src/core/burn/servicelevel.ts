/** A service level objective of a pool, as a share of its requests. */

import type { PoolId } from '../id/pool.ts'

/**
 * - `urgentInTime`: urgent requests that were answered within `withinMs`.
 * - `writesSucceed`: writes that were done, of those that the endpoint didn't refuse for an error of the caller.
 * - `stalenessKept`: reads with evidence of the freshness they required.
 * - `replicaShare`: reads, other than strict ones, that a replica answered.
 */
export interface ServiceLevel {
  readonly name: string
  readonly pool: PoolId
  readonly measure: 'urgentInTime' | 'writesSucceed' | 'stalenessKept' | 'replicaShare'
  /** The share that is aimed for, between 0 and 1. */
  readonly target: number
  /** For `urgentInTime`; a request's own deadline applies when absent. */
  readonly withinMs?: number
}
