/** Whether a statement may go out, by what its host knows and how old that may be. */

import { expect, it } from 'vitest'
import type { TeamId } from '../../id/team.ts'
import { permissionOf } from './permission.ts'
import type { Team } from './team.ts'

const TEAM: Team = { id: 't' as TeamId, keys: [], rate: undefined }
const STRICT = { maxConfigAgeMs: 4750, normalConfigAgeMs: 3900 }
const LAX = { maxConfigAgeMs: Infinity, normalConfigAgeMs: 3900 }

it.each<[string, Parameters<typeof permissionOf>[0], Parameters<typeof permissionOf>[1], string]>([
  ['a key that is held', { isPublic: false, holder: TEAM, ageMs: 100 }, STRICT, 't'],
  ['a key that nobody holds', { isPublic: false, holder: undefined, ageMs: 100 }, STRICT, 'unauthorised'],
  ['a key that may have been added since', { isPublic: false, holder: undefined, ageMs: 3901 }, STRICT, 'outOfTouch'],
  ['a key that may have been taken away since, within the bound', { isPublic: false, holder: TEAM, ageMs: 4750 }, STRICT, 't'],
  ['a key that may have been taken away for longer', { isPublic: false, holder: TEAM, ageMs: 4751 }, STRICT, 'outOfTouch'],
  ['the same where that is allowed', { isPublic: false, holder: TEAM, ageMs: Infinity }, LAX, 't'],
  ['no key where none is needed, whatever is known', { isPublic: true, holder: undefined, ageMs: Infinity }, STRICT, 'open']
])('%s', (_name, asked, bounds, expected) => {
  const permission = permissionOf(asked, bounds)
  expect(permission.kind === 'granted' ? permission.team?.id ?? 'open' : permission.fault).toBe(expected)
})
