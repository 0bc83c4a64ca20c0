/** Which requests wait out a failover. */

import { describe, expect, it } from 'vitest'
import { waitsForPrimary } from './waitsforprimary.ts'

// A caller reads right after a failover and is told "no second server could
// prove that the primary is current". The new primary answers already, its
// replicas have yet to be told to follow it, and the read was given up at once.
describe('waitsForPrimary', () => {
  it.each([
    ['read', undefined, true],
    ['read', 'normal', true],
    ['read', 'browsing', false],
    ['write', 'urgent', true],
    ['write', 'normal', false],
    ['write', undefined, false],
    ['begin', 'urgent', true]
  ] as const)('a %s of class %s waits: %s', (kind, cls, waits) => {
    expect(waitsForPrimary(kind, cls)).toBe(waits)
  })
})
