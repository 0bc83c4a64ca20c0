/** What hosts carry, told in the places of endpoints whose work passes them. */

import type { PoolHost } from './host.ts'

/** What a statement takes of an owner's processor, in seconds of one core; docs/CAPACITY.md has the costs. */
const STATEMENT_S = 0.0005
/** Statements a second of a place that is never idle, at 20 ms each. */
const STATEMENTS_PER_PLACE = 50
/** A processor that is busier than this makes statements wait for it, and has nothing left while another owner is gone. */
const MOST_BUSY = 0.5
const CORES_PER_PLACE = STATEMENT_S * STATEMENTS_PER_PLACE / MOST_BUSY
/** A host that doesn't tell its capacity is taken for a whole core. */
const UNKNOWN = 1

export const carrying = {
  capacityOf: ({ capacity }: PoolHost): number => capacity ?? UNKNOWN,
  /** Cores that are needed while so many places are busy. */
  coresFor: (places: number): number => places * CORES_PER_PLACE
}
