/** Guards against two hosts that both hold a lease. */

import { describe, expect, it } from 'vitest'
import type { HostId } from '../../id/host.ts'
import type { Instant } from '../../id/instant.ts'
import { Lease } from './lease.ts'

const lease = Lease.of({ holder: 'a' as HostId, asksFor: undefined, version: 4, seenAt: 1000 as Instant })

describe('a lease', () => {
  it.each<[string, number, boolean, boolean]>([
    ['a', 1000, true, true],
    ['b', 1000, false, false],
    ['b', 3999, false, false],
    ['b', 4000, true, false],
    ['a', 4000, true, false]
  ])('%s at %d', (host, now, mayClaim, isHeld) => {
    expect(lease.mayClaim(host as HostId, now as Instant)).toBe(mayClaim)
    expect(lease.isHeldBy(host as HostId, now as Instant)).toBe(isHeld)
  })
})
