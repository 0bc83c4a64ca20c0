/** The loads under which decisions of a group are measured: the heaviest seconds that a customer's days showed. */

import type { Kind } from './kind.ts'
import type { Load } from './load.ts'

const END_MS = 16_000
const FAULT = { from: 4000, to: 10_000 }
/** Of a busy group: bookings, look-ups and records, 170 operations a second together. */
const KINDS: readonly Kind[] = [
  { name: 'bookings', rank: 0, perSecond: 25, workMs: 4.5, aimMs: 120, deadlineMs: 1200, transactions: 0.4, writes: 0.2, staleMs: 0 },
  { name: 'look-ups', rank: 1, perSecond: 25, workMs: 22, aimMs: 400, deadlineMs: 4000, transactions: 0.1, writes: 0, staleMs: 1500 },
  { name: 'records', rank: 1, perSecond: 120, workMs: 14, aimMs: 200, deadlineMs: 1200, transactions: 0.12, writes: 0.12, staleMs: 2500 }
]
const SMALL_LAG_MS = 20
const LARGE_LAG_MS = 1740
const CALM: Load = { name: 'calm', hosts: 8, connections: 16, kinds: KINDS, lagMs: () => SMALL_LAG_MS, endMs: END_MS }
/** A group with many owners: urgent ones, look-ups and records, 125 operations a second together. */
const OWNED: Load = {
  name: 'seven owners',
  hosts: 7,
  connections: 28,
  places: 5,
  mostQueued: 40,
  kinds: [
    { name: 'urgent', rank: 0, perSecond: 17, workMs: 8, aimMs: 200, deadlineMs: 2000, transactions: 0.4, writes: 0.2, staleMs: 0 },
    { name: 'look-ups', rank: 1, perSecond: 29, workMs: 40, aimMs: 1200, deadlineMs: 6000, transactions: 0.1, writes: 0, staleMs: 1500 },
    { name: 'records', rank: 1, perSecond: 79, workMs: 24, aimMs: 400, deadlineMs: 2000, transactions: 0.12, writes: 0.12, staleMs: 2500 }
  ],
  lagMs: () => 90,
  endMs: END_MS
}
const SLOW = 7.5
const OUTAGE = { at: FAULT.from, ms: 1500 }

export const loads: readonly Load[] = [
  CALM,
  { ...CALM, name: 'replicas 1.7 s behind', lagMs: during(LARGE_LAG_MS) },
  { ...CALM, name: 'replicas out of reach', lagMs: during(Infinity) },
  { ...CALM, name: 'all hosts lose power, 8 of 16 connections in use', outage: OUTAGE },
  { ...CALM, name: 'all hosts lose power, 14 of 16 connections in use', hosts: 7, outage: OUTAGE },
  OWNED,
  { ...OWNED, name: 'seven owners, twice the callers', kinds: OWNED.kinds.map(kind => ({ ...kind, perSecond: 2 * kind.perSecond })) },
  { ...OWNED, name: 'seven owners, replicas 5 s behind', lagMs: now => now >= FAULT.from && now < FAULT.to ? 5000 : 90 },
  { ...OWNED, name: 'seven owners, a slow replica', slowness: (endpoint, now) => endpoint === 1 && now >= FAULT.from && now < FAULT.to ? SLOW : 1 }
]

function during (lagMs: number): Load['lagMs'] {
  return now => now >= FAULT.from && now < FAULT.to ? lagMs : SMALL_LAG_MS
}
