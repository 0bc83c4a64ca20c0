/** How long an endpoint without an entry is kept. */

import { expect, it } from 'vitest'
import type { EndpointId } from '../id/endpoint.ts'
import type { Instant } from '../id/instant.ts'
import { MissingEndpoints } from './missingendpoints.ts'

const ID = 'a' as EndpointId

// All callers are refused for two seconds after the store's return: every entry lapsed while it was
// away, the endpoints are back in the list within two seconds, and were dropped with their connections.
it.each<[string, MissingEndpoints, number, EndpointId[]]>([
  ['just gone', MissingEndpoints.empty.with(ID, 0 as Instant), 2000, []],
  ['gone for long', MissingEndpoints.empty.with(ID, 0 as Instant), 2500, [ID]],
  ['missing again in a later look', MissingEndpoints.empty.with(ID, 0 as Instant).with(ID, 2000 as Instant), 2500, [ID]],
  ['back in time', MissingEndpoints.empty.with(ID, 0 as Instant).without(ID), 2500, []]
])('%s', (_, lapses, now, expected) => expect(lapses.expired(now as Instant)).toEqual(expected))
