/** Ranks hosts for a purpose by weighted rendezvous hashing. */

import { weightOf } from '../../weight.ts'
import { hostCapacity } from './hostcapacity.ts'
import type { PoolHost } from './host.ts'

/** A host of twice the capacity gets twice the groups at equal utilisation, and twice as many again because each statement takes it half the time. */
const CAPACITY_EXPONENT = 2
const HASH_RANGE = 2 ** 32

/**
 * The best host first. Each host's hash, as a number between 0 and 1, is raised to the power of 1 over its weight, so that a host comes first with a
 * probability proportional to its weight, and adding or removing a host doesn't change the order of the others.
 */
export function rankHosts (purpose: string, hosts: readonly PoolHost[]): readonly PoolHost[] {
  return hosts
    .map(host => ({ host, score: Math.log((weightOf(`${purpose}/${host.id}`) + 0.5) / HASH_RANGE) / hostCapacity.coresOf(host) ** CAPACITY_EXPONENT }))
    .sort((a, b) => b.score - a.score || (a.host.id < b.host.id ? -1 : 1))
    .map(({ host }) => host)
}
