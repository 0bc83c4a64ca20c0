/** The freshness that a read is held to. */

import type { Freshness } from '../../core/routing/freshness.ts'
import type { Hints } from '../../core/routing/hints.ts'
import type { Identity } from './identity.ts'

/** That of the kind that the read names, else the pool's. */
export function freshnessOf ({ pool }: Identity, hints: Hints): Freshness {
  return pool.kinds.find(one => one.name === hints.fields.read)?.freshness ?? pool.freshness
}
