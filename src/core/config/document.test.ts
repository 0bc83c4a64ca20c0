/** Guards against accepting invalid configuration documents and against errors without a remedy. */

import { describe, expect, it } from 'vitest'
import type { ConfigVersion } from '../id/version.ts'
import type { Json } from '../json.ts'
import { Change } from './change.ts'
import { parseConfig } from './document.ts'

const HASH = '0'.repeat(40)
const endpoint = (id: string, address: string): Json => ({ id, address, dataCentre: 'dc-1' })
const base: Json = {
  groups: [{ id: 'shop', database: 'shop', endpoints: [endpoint('shop-1', '10.0.0.1:3306')] }],
  pools: [{ id: 'main', groups: ['shop'], callers: [{ id: 'app', passwordHash: HASH }], kinds: [{ name: 'crimp', freshness: 'strict' }] }]
}

function check (change: Json): string {
  const document = Change.of(change).apply(base)._unsafeUnwrap()
  return parseConfig(1 as ConfigVersion, document).match(() => 'ok', problem => problem)
}

const inPool = (fields: object): Json => ({ pools: [{ id: 'main', ...fields }] })
const inGroup = (fields: object): Json => ({ groups: [{ id: 'shop', ...fields }] })

describe('a configuration document', () => {
  it.each<[Json, string]>([
    [{}, 'ok'],
    [{ colour: 1 }, 'colour: unknown key; remove it or see "Patch the configuration" in docs/OPERATIONS.md'],
    [inGroup({ slot: 1 }), 'groups.shop.slot: unknown key; remove it or see "Patch the configuration" in docs/OPERATIONS.md'],
    [inGroup({ connectionsPerSlot: 1 }), 'groups.shop.connectionsPerSlot: is too small; write at least 4'],
    [inGroup({ slotsPerEndpoint: 9 }), 'groups.shop.slotsPerEndpoint: is too large; write at most 8'],
    [inGroup({ database: null }), 'groups.shop.database: is missing; write a string'],
    [inGroup({ endpoints: [endpoint('shop-1', '10.0.0.256:1')] }), 'groups.shop.endpoints.shop-1.address: "10.0.0.256:1" isn\'t an address; write it as "ip:port" by number, such as "10.1.0.7:3306"'],
    [inGroup({ endpoints: [endpoint('shop-2', '10.0.0.1:3306')] }), 'addresses of endpoints: "10.0.0.1:3306" comes twice; rename or remove one'],
    [{ groups: [{ id: 'kit', database: 'kit', endpoints: [endpoint('shop-1', '10.0.0.2:1')] }] }, 'endpoints: "shop-1" comes twice; rename or remove one'],
    [{ groups: [{ id: 'kit', database: 'shop', endpoints: [endpoint('kit-1', '10.0.0.2:1')] }], pools: [{ id: 'main', groups: ['shop', 'kit'] }] }, 'pools.main.groups: database "shop" comes twice; leave one of its groups out'],
    [inPool({ groups: ['none'] }), 'pools.main.groups: "none" isn\'t a group; add it to groups or remove it here'],
    [inPool({ freshness: '5 s' }), 'pools.main.freshness: "5 s" isn\'t a freshness; write "strict", "session" or an age up to "1d" such as "5s"'],
    [inPool({ kinds: [{ name: 'old', freshness: '2d' }] }), 'pools.main.kinds.old.freshness: "2d" isn\'t a freshness; write "strict", "session" or an age up to "1d" such as "5s"'],
    [inPool({ callers: [{ id: 'app', passwordHash: 'secret' }] }), 'pools.main.callers.app.passwordHash: write the SHA-1 of the SHA-1 of the password as 40 hexadecimal digits in lower case, as MySQL stores it'],
    [{ pools: [{ id: 'other', groups: [], callers: [{ id: 'app', passwordHash: HASH }] }] }, 'callers: "app" comes twice; rename or remove one']
  ])('%j', (change, expected) => {
    expect(check(change)).toBe(expected)
  })
})
