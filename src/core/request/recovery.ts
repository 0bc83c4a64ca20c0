/** Classifies refusals by what would let a retry succeed. */

import type { ReasonName } from '../reasonname.ts'

/**
 * - `elsewhere`: another slot owner or endpoint may take the request now.
 * - `newPrimary`: only a promotion helps, for which some requests wait; see `RequestSpec`.
 * - `firstSample`: the first sample of the group helps, which arrives within a probe interval of a start or of a first use.
 * - `never`: an immediate retry would fail the same way.
 */
type Recovery = 'firstSample' | 'elsewhere' | 'newPrimary' | 'never'

const RECOVERIES: Partial<Record<ReasonName, Recovery>> = {
  notSampled: 'firstSample',
  noPrimary: 'newPrimary',
  replaced: 'newPrimary',
  unproved: 'newPrimary',
  unreachable: 'elsewhere',
  noSlotOwner: 'elsewhere',
  notSent: 'elsewhere',
  rolledBack: 'elsewhere',
  lost: 'elsewhere',
  unconfirmed: 'newPrimary'
}

/** Returns what would let a retry of a request succeed that was refused for the reason. */
export function recoveryOf (reason: ReasonName | undefined): Recovery {
  return (reason === undefined ? undefined : RECOVERIES[reason]) ?? 'never'
}
