/** What a process may conclude from the samples of a group. */

import { describe, expect, it } from 'vitest'
import type { EndpointId } from '../id/endpoint.ts'
import type { GroupId } from '../id/group.ts'
import type { Term } from '../id/term.ts'
import { Group } from './group.ts'
import { Sample } from './sample.ts'

type Role = Sample['role']

const group = (...roles: readonly Role[]): Group => {
  const ids = ['e1', 'e2', 'e3'] as EndpointId[]
  return roles.reduce(
    (known, role, i) => known.with(Sample.unknown(ids[i]!).with({ role, term: 1 as Term, reachable: true })),
    Group.of('g' as GroupId, ids))
}

// Guards against a "no primary" refusal by a proxy that has just started, whose first samples are those of the replicas.
describe('a group is sampled', () => {
  it.each([
    [[], false],
    [['replica'], false],
    [['replica', 'replica'], false],
    [['primary'], true],
    [['replica', 'sealed', 'sealed'], true]
  ] as const)('with samples of %j: %s', (roles, isSampled) => {
    expect(group(...roles).isSampled).toBe(isSampled)
  })
})
