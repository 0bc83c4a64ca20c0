/** The time left until a deadline. */

import type { Instant } from '../../../core/id/instant.ts'
import { clock } from '../clock.ts'

/** Milliseconds, never below 0. */
export function left (deadline: Instant): number {
  return Math.max(0, deadline - clock.now())
}
