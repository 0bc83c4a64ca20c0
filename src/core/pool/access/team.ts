/** A team as configured. */

import type { Rate } from '../../allowance/rate.ts'
import type { TeamId } from '../../id/team.ts'
import type { KeyDigest } from './keydigest.ts'

export interface Team {
  readonly id: TeamId
  readonly keys: readonly KeyDigest[]
  /** Undefined for a team without a limit. */
  readonly rate: Rate | undefined
}
