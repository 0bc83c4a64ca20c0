/** When this host told the other owners of a group of its load, and whether there is something to tell again. */

import type { Instant } from '../../id/instant.ts'
import type { EndpointLoad } from './endpointload.ts'
import { reportPeriod } from './reportperiod.ts'

/** Timers fire a little early or late; a report isn't put off to the next look for that. Milliseconds. */
const TIMER_TOLERANCE_MS = 10

/** Immutable; each report yields the next value. */
export class ReportSchedule {
  private constructor (private readonly at: Instant, private readonly wasIdle: boolean) {}

  static readonly initial = new ReportSchedule(-Infinity as Instant, true)

  /** Each period while there is load, and once when there is none any more. */
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
