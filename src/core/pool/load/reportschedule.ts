/** When this host last reported its load to the other owners of a group, and whether another report is due. */

import type { Instant } from '../../id/instant.ts'
import type { EndpointLoad } from './endpointload.ts'
import { reportPeriod } from './reportperiod.ts'

/** Timers may fire a little early; a report shouldn't wait for the next tick because of that. */
const TIMER_TOLERANCE_MS = 10

/** Immutable; each report yields the next value. */
export class ReportSchedule {
  private constructor (private readonly at: Instant, private readonly wasIdle: boolean) {}

  static readonly initial = new ReportSchedule(-Infinity as Instant, true)

  /** Due each period while there is load, and once more when there is none. */
  isDue (loads: readonly EndpointLoad[], others: number, now: Instant): boolean {
    if (others === 0 || (this.wasIdle && isIdle(loads))) return false
    return now - this.at >= reportPeriod.msFor(others) - TIMER_TOLERANCE_MS
  }

  with (loads: readonly EndpointLoad[], now: Instant): ReportSchedule {
    return new ReportSchedule(now, isIdle(loads))
  }
}

function isIdle (loads: readonly EndpointLoad[]): boolean {
  return loads.every(({ atWork, waiting }) => atWork + waiting === 0)
}
