/** Guards against reads and urgent writes that are refused during a failover which they could wait for. */

import { describe, expect, it } from 'vitest'
import { waitsForPrimary } from './waitsforprimary.ts'

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
