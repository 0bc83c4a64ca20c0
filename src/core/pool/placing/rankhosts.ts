/** Ranks hosts for a purpose, by rendezvous weights that respect what hosts carry. */

import { weightOf } from '../../weight.ts'
import { hostCapacity } from './hostcapacity.ts'
import type { PoolHost } from './host.ts'

/**
 * A host of twice the speed is drawn for twice the groups at the same load of its processor, and twice as often again since a statement passes it in
 * half the time.
 */
const CAPACITY_EXPONENT = 2
const HASH_RANGE = 2 ** 32

/**
 * The first first. Each host draws a number between 0 and 1 and takes it to the power of 1 over its weight, so that it's the first with a chance that is its
 * part of all weights, and a host that comes or goes changes the order of no two others.
 */
export function rankHosts (purpose: string, hosts: readonly PoolHost[]): readonly PoolHost[] {
  return hosts
    .map(host => ({ host, draw: Math.log((weightOf(`${purpose}/${host.id}`) + 0.5) / HASH_RANGE) / hostCapacity.coresOf(host) ** CAPACITY_EXPONENT }))
    .sort((a, b) => b.draw - a.draw || (a.host.id < b.host.id ? -1 : 1))
    .map(({ host }) => host)
}
