/** What hosts carry, told in the places of endpoints whose work passes them. */

import type { PoolHost } from './host.ts'

/** What a statement takes of an owner's processor, in seconds of one core; docs/CAPACITY.md has the costs. */
const STATEMENT_CPU_S = 0.0005
/** Statements a second of a place that is never idle, at 20 ms each. */
const PLACE_STATEMENTS_PER_S = 50
/** A processor that is busier than this makes statements wait for it, and has nothing left while another owner is gone. */
const MAX_UTILISATION = 0.5
const CORES_PER_PLACE = STATEMENT_CPU_S * PLACE_STATEMENTS_PER_S / MAX_UTILISATION
/** A host that doesn't tell its capacity is taken for a whole core. */
const DEFAULT_CORES = 1

export const hostCapacity = {
  coresOf: ({ capacity }: PoolHost): number => capacity ?? DEFAULT_CORES,
  /** Cores that are needed while so many places are busy. */
  coresForPlaces: (places: number): number => places * CORES_PER_PLACE
}
