/** How long idle connections are kept. */

import { expect, it } from 'vitest'
import type { Instant } from '../../id/instant.ts'
import { ConnectionScarcity } from './connectionscarcity.ts'

// After a power loss of all hosts, the first host to return must not keep the few free connections idle while others can't connect.
it.each<[string, ConnectionScarcity, number, boolean]>([
  ['just started', ConnectionScarcity.started(0 as Instant), 1000, true],
  ['started long ago', ConnectionScarcity.started(0 as Instant), 4000, false],
  ['with spare connections', ConnectionScarcity.none, 1, false],
  ['refused lately', ConnectionScarcity.started(0 as Instant).refused(10_000 as Instant), 12_000, true],
  ['refused long ago', ConnectionScarcity.started(0 as Instant).refused(10_000 as Instant), 14_000, false]
])('%s', (_, scarcity, now, isScarce) => {
  expect(scarcity.idleTimeoutMs(now as Instant) !== undefined).toBe(isScarce)
})
