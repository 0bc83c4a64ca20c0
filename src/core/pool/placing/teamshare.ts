/** A team and its share of what all teams may ask. */

import type { TeamId } from '../../id/team.ts'

export interface TeamShare {
  readonly id: TeamId
  /** From 0 to 1. */
  readonly share: number
}
