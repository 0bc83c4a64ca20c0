/** Distinguishes an endpoint without free connections from an unreachable one. */

import type { DialFault } from './dialfault.ts'

/** Whether the endpoint is alive but has no free connection. One is free again as soon as some host closes one. */
export function isEndpointFull (fault: DialFault): boolean {
  return fault === 'tooManyConnections' || fault === 'turnedAway'
}
