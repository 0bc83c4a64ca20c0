/** A team, and how much it may ask. */

import type { TeamId } from '../../id/team.ts'

export interface TeamShare {
  readonly id: TeamId
  /** The part of all that teams may ask; from 0 to 1. */
  readonly share: number
}
