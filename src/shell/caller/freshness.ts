/** Looks up the freshness that a read requires. */

import type { Freshness } from '../../core/routing/freshness.ts'
import type { Hints } from '../../core/routing/hints.ts'
import type { Identity } from './identity.ts'

/** The freshness of the read kind named in the hints, else the pool's default. */
export function freshnessOf ({ pool }: Identity, hints: Hints): Freshness {
  return pool.kinds.find(one => one.name === hints.fields.read)?.freshness ?? pool.freshness
}
