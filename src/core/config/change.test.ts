/** Guards against patches that change more or less than they say. */

import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { Json } from '../json.ts'
import { Change } from './change.ts'
import { Difference } from './difference.ts'

const base: Json = {
  groups: [{ id: 'shop', connectionsPerSlot: 16, endpoints: [{ id: 'shop-1', address: 'a' }] }, { id: 'kit', connectionsPerSlot: 16 }],
  pools: [{ id: 'main', groups: ['shop', 'kit'] }]
}

describe('a change', () => {
  it.each<[string, Json, string]>([
    ['merges a known entry', { groups: [{ id: 'shop', connectionsPerSlot: 30 }] }, '~ groups.shop.connectionsPerSlot: 16 -> 30'],
    ['adds an unknown entry', { groups: [{ id: 'test', database: 't' }] }, '+ groups.test: {"id":"test","database":"t"}'],
    ['removes an entry', { groups: [{ id: 'kit', remove: true }] }, '- groups.kit: {"id":"kit","connectionsPerSlot":16}'],
    ['reaches a nested entry', { groups: [{ id: 'shop', endpoints: [{ id: 'shop-1', address: 'b' }] }] }, '~ groups.shop.endpoints.shop-1.address: "a" -> "b"'],
    ['replaces a plain list', { pools: [{ id: 'main', groups: ['shop'] }] }, '~ pools.main.groups: ["shop","kit"] -> ["shop"]'],
    ['removes a key by null', { groups: [{ id: 'kit', connectionsPerSlot: null }] }, '- groups.kit.connectionsPerSlot: 16'],
    ['hides hashes', { pools: [{ id: 'main', callers: [{ id: 'app', passwordHash: 'ab' }] }] }, '+ pools.main.callers: [{"id":"app","passwordHash":"…"}]'],
    ['changes nothing', {}, '']
  ])('%s', (_, change, expected) => {
    const after = Change.of(change).apply(base)._unsafeUnwrap()
    expect(Difference.between(base, after).toString()).toBe(expected)
  })

  it('refuses to remove what is not there', () => {
    expect(Change.of({ groups: [{ id: 'none', remove: true }] }).apply(base)._unsafeUnwrapErr())
      .toBe('groups.none: does not exist; leave its removal out')
  })

  it('between two documents turns one into the other', () => {
    const name = fc.constantFrom('a', 'b', 'c')
    const entry = fc.record({ id: name, size: fc.nat(3), list: fc.array(fc.nat(3), { maxLength: 2 }) }, { requiredKeys: ['id'] })
    const nested = fc.record({ id: name, inner: fc.uniqueArray(entry, { selector: one => one.id }) }, { requiredKeys: ['id'] })
    const document = fc.record({ groups: fc.uniqueArray(nested, { selector: one => one.id }), pools: fc.uniqueArray(entry, { selector: one => one.id }) })
    fc.assert(fc.property(document, document, (before, after) => {
      const reached = Change.between(before as Json, after as Json).apply(before as Json)._unsafeUnwrap()
      expect(Difference.between(reached, after as Json).lines).toEqual([])
    }), { seed: 7, numRuns: 500 })
  })
})
