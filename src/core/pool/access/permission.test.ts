/** Guards against accepting a revoked key, and against rejecting a new one, on an outdated configuration. */

import { expect, it } from 'vitest'
import type { TeamId } from '../../id/team.ts'
import { permissionOf } from './permission.ts'
import type { Team } from './team.ts'

const TEAM: Team = { id: 't' as TeamId, keys: [], rate: undefined }
const STRICT = { maxConfigAgeMs: 4750, normalConfigAgeMs: 3900 }
const LAX = { maxConfigAgeMs: Infinity, normalConfigAgeMs: 3900 }

it.each<[string, Parameters<typeof permissionOf>[0], Parameters<typeof permissionOf>[1], string]>([
  ['a key of a team', { isPublic: false, holder: TEAM, ageMs: 100 }, STRICT, 't'],
  ['an unknown key', { isPublic: false, holder: undefined, ageMs: 100 }, STRICT, 'unauthorised'],
  ['an unknown key that may have been added since', { isPublic: false, holder: undefined, ageMs: 3901 }, STRICT, 'outOfTouch'],
  ['a key that may have been revoked since, within the bound', { isPublic: false, holder: TEAM, ageMs: 4750 }, STRICT, 't'],
  ['a key that may have been revoked for longer than the bound', { isPublic: false, holder: TEAM, ageMs: 4751 }, STRICT, 'outOfTouch'],
  ['the same without a bound', { isPublic: false, holder: TEAM, ageMs: Infinity }, LAX, 't'],
  ['no key where none is needed, whatever the age', { isPublic: true, holder: undefined, ageMs: Infinity }, STRICT, 'open']
])('%s', (_name, asked, bounds, expected) => {
  const permission = permissionOf(asked, bounds)
  expect(permission.kind === 'granted' ? permission.team?.id ?? 'open' : permission.fault).toBe(expected)
})
