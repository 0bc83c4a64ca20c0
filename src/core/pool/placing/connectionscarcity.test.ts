/** How long unused connections are kept. */

import { expect, it } from 'vitest'
import type { Instant } from '../../id/instant.ts'
import { ConnectionScarcity } from './connectionscarcity.ts'

// Callers of some hosts can't write for seconds after all hosts lost their power and came back.
// The endpoint counts the dead connections still; the first host takes the few that are free, and keeps them idle.
it.each<[string, ConnectionScarcity, number, boolean]>([
  ['just started', ConnectionScarcity.started(0 as Instant), 1000, true],
  ['started long ago', ConnectionScarcity.started(0 as Instant), 4000, false],
  ['with room beside the dead', ConnectionScarcity.none, 1, false],
  ['refused lately', ConnectionScarcity.started(0 as Instant).refused(10_000 as Instant), 12_000, true],
  ['refused long ago', ConnectionScarcity.started(0 as Instant).refused(10_000 as Instant), 14_000, false]
])('%s', (_, thrift, now, isScarce) => {
  expect(thrift.idleTimeoutMs(now as Instant) !== undefined).toBe(isScarce)
})
