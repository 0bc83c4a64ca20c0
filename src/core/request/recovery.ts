/** What can mend the cause of a refusal. */

import type { ReasonName } from '../reasonname.ts'

/**
 * - `elsewhere`: another slot owner or endpoint may take the request now.
 * - `newPrimary`: nothing but a promotion, which some requests wait for, see RequestSpec.
 * - `firstSample`: the first sample of the group, which comes within a probe of a start or of a first use.
 * - `never`: trying again right away would end the same way.
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

export function recoveryOf (reason: ReasonName | undefined): Recovery {
  return (reason === undefined ? undefined : RECOVERIES[reason]) ?? 'never'
}
