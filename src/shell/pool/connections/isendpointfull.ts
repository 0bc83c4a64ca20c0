/** Whether an endpoint lives that a connection couldn't be opened to. */

import type { DialFault } from './dialfault.ts'

/** An endpoint that takes no more connections lives, and has the next one free as soon as some host gives one back. */
export function isEndpointFull (fault: DialFault): boolean {
  return fault === 'tooManyConnections' || fault === 'turnedAway'
}
