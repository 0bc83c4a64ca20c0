/** How long an endpoint is kept after its entry disappeared. */

import { expect, it } from 'vitest'
import type { EndpointId } from '../id/endpoint.ts'
import type { Instant } from '../id/instant.ts'
import { MissingEndpoints } from './missingendpoints.ts'

const ID = 'a' as EndpointId

// Guards against dropping live endpoints after an outage of the store: all entries expired, and are renewed within two seconds.
it.each<[string, MissingEndpoints, number, EndpointId[]]>([
  ['missing for less than the grace period', MissingEndpoints.empty.with(ID, 0 as Instant), 2000, []],
  ['missing for the grace period', MissingEndpoints.empty.with(ID, 0 as Instant), 2500, [ID]],
  ['still missing in a later listing', MissingEndpoints.empty.with(ID, 0 as Instant).with(ID, 2000 as Instant), 2500, [ID]],
  ['listed again in time', MissingEndpoints.empty.with(ID, 0 as Instant).without(ID), 2500, []]
])('%s', (_, missing, now, expected) => expect(missing.expired(now as Instant)).toEqual(expected))
