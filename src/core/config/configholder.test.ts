/** Guards against a configuration that reverts to an older version, and against too many polls of the store. */

import { describe, expect, it } from 'vitest'
import type { HostId } from '../id/host.ts'
import type { Instant } from '../id/instant.ts'
import type { ConfigVersion } from '../id/version.ts'
import type { Json } from '../json.ts'
import type { ConfigCandidate } from './configcandidate.ts'
import { ConfigHolder } from './configholder.ts'
import { pollDelayMs } from './polldelay.ts'
import { ConfigStartup } from './configstartup.ts'

const documentOf = (size: number): Json => ({
  groups: [{ id: 'shop', database: 'shop', endpoints: [{ id: 'shop-1', address: '10.0.0.1:1', dataCentre: 'dc-1' }], connectionsPerSlot: size }],
  pools: []
})
const whole = (version: number): ConfigCandidate => ({ version: version as ConfigVersion, base: 0 as ConfigVersion, body: documentOf(version + 10) })

/** The version in force after each candidate, or the reason of its refusal. */
function run (...candidates: readonly ConfigCandidate[]): string {
  let holder = ConfigHolder.empty
  return candidates.map(candidate => holder.offer(candidate).match(
    next => {
      holder = next
      return String(next.version)
    },
    refusal => refusal.kind)).join(' ')
}

describe('the configuration in force', () => {
  const change = ConfigHolder.empty.offer(whole(1)).andThen(one => one.offer(whole(2)))._unsafeUnwrap().candidateFor(1 as ConfigVersion)!

  // A host that was cut off or paused may offer an old version. A proxy that took it would use addresses, callers and kinds that an operator
  // has replaced.
  it.each<[string, readonly ConfigCandidate[], string]>([
    ['takes higher versions only', [whole(1), whole(3), whole(2), whole(3), whole(4)], '1 3 old old 4'],
    ['takes a change to what it has', [whole(1), change], '1 2'],
    ['asks for the whole document if a change has no base', [change, whole(2)], 'gap 2'],
    ['does not take a change twice', [whole(1), change, change], '1 2 old'],
    ['keeps the version before one that it cannot read', [whole(1), { ...whole(2), body: { pools: 1 } }], '1 invalid']
  ])('%s', (_, candidates, expected) => {
    expect(run(...candidates)).toBe(expected)
  })

  it('sends a change to a host that has the previous version, and the whole document to others', () => {
    expect(change).toMatchObject({ version: 2, base: 1, body: { groups: [{ id: 'shop', connectionsPerSlot: 12 }] } })
    expect(ConfigHolder.empty.offer(whole(2))._unsafeUnwrap().candidateFor(1 as ConfigVersion)).toMatchObject({ version: 2, base: 0 })
  })
})

describe('a process that starts', () => {
  const [a, b] = ['a', 'b'] as readonly string[] as readonly [HostId, HostId]
  const at = (ms: number): Instant => ms as Instant
  const began = ConfigStartup.begin(at(0)).withStoreFailure('down').withPeers([a, b])
  const version = (number: number): ConfigVersion => number as ConfigVersion

  // With the store down, the first peer that answers may have an older version than this host had before its restart.
  it('takes the highest version of its peers', () => {
    expect(began.answered(a, version(3)).canTake(version(3), at(10))).toBe(false)
    const all = began.answered(a, version(3)).answered(b, version(5))
    expect(all.canTake(version(3), at(10))).toBe(false)
    expect(all.canTake(version(5), at(10))).toBe(true)
  })

  it('does not wait for dead peers for long, nor for peers once the store answered', () => {
    expect(began.answered(a, version(3)).canTake(version(3), at(2000))).toBe(true)
    expect(began.withStoreRead().canTake(version(3), at(10))).toBe(true)
  })

  it('says why it is not ready', () => {
    expect(began.answered(a, version(0)).reason)
      .toBe('no configuration yet: the store does not answer (down); 1 of 2 peers answered')
  })
})

// When the store recovers from an outage, polls by all hosts at the interval of a poller would overload it again.
it.each<[Parameters<typeof pollDelayMs>[0], number, number]>([
  [{ isPoller: true, hasConfig: true, misses: 0 }, 500, 500],
  [{ isPoller: true, hasConfig: true, misses: 100 }, 2000, 2000],
  [{ isPoller: false, hasConfig: true, misses: 0 }, 15_000, 45_000],
  [{ isPoller: false, hasConfig: false, misses: 0 }, 250, 750],
  [{ isPoller: false, hasConfig: false, misses: 9 }, 4000, 12_000]
])('a host polls the store at the interval of its role: %j', (situation, least, most) => {
  expect([pollDelayMs(situation, 0), pollDelayMs(situation, 1)]).toEqual([least, most])
})
