/** Configuration documents of any number of databases, in the form that operators write. */

import type { Json } from '../src/core/json.ts'

const ENDPOINTS = 3
const GROUPS_PER_POOL = 15
const CALLERS_PER_POOL = 10
const HASH = '8a42fde15193a9ac6a71229bec46439aa7ec93f7'

/** Pools of 15 databases with ten callers and four kinds each. */
export function documentOf (databases: number): Json {
  const groups = Array.from({ length: databases }, (_, i) => ({
    id: `booking-${i}`,
    database: `booking_${i}`,
    endpoints: Array.from({ length: ENDPOINTS }, (_, j) => ({
      id: `booking-${i}-${j}`, address: `10.${j}.${i >> 8}.${i & 255}:3306`, dataCentre: `oslo-${j}`
    })),
    slotsPerEndpoint: 2,
    connectionsPerSlot: 30
  }))
  const pools = Array.from({ length: Math.ceil(databases / GROUPS_PER_POOL) }, (_, i) => ({
    id: `pool-${i}`,
    groups: groups.slice(i * GROUPS_PER_POOL, (i + 1) * GROUPS_PER_POOL).map(group => group.id),
    callers: Array.from({ length: CALLERS_PER_POOL }, (_, j) => ({ id: `caller-${i}-${j}`, passwordHash: HASH })),
    kinds: ['confirmation', 'rebooking', 'windows', 'drivers'].map(name => ({ name, freshness: '30s' })),
    freshness: 'session'
  }))
  return { groups, pools }
}
