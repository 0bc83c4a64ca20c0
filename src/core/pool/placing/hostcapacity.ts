/** Capacity of hosts in cores, and the cores that a number of busy places needs. */

import type { PoolHost } from './host.ts'

/** Processor time of an owner per statement, in seconds of one core. */
const STATEMENT_CPU_S = 0.0005
/** Statements per second of a place that is always busy, at 20 ms each. */
const PLACE_STATEMENTS_PER_S = 50
/** Above this utilisation statements queue for the processor, and an owner can't take over the work of another one that fails. */
const MAX_UTILISATION = 0.5
const CORES_PER_PLACE = STATEMENT_CPU_S * PLACE_STATEMENTS_PER_S / MAX_UTILISATION
/** Capacity of a host that doesn't report one. */
const DEFAULT_CORES = 1

export const hostCapacity = {
  coresOf: ({ capacity }: PoolHost): number => capacity ?? DEFAULT_CORES,
  /** Cores needed while this many places are busy. */
  coresForPlaces: (places: number): number => places * CORES_PER_PLACE
}
