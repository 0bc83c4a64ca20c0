/** Guards against invalid service levels in a configuration document. */

import { describe, expect, it } from 'vitest'
import type { ConfigVersion } from '../id/version.ts'
import { parseConfig } from './document.ts'

const level = { name: 'urgent', pool: 'main', measure: 'urgentInTime', target: 0.999, within: '250ms' }
const parse = (...serviceLevels: object[]): ReturnType<typeof parseConfig> =>
  parseConfig(1 as ConfigVersion, { groups: [], pools: [{ id: 'main', groups: [], callers: [] }], serviceLevels })

describe('serviceLevels of a configuration', () => {
  it('are parsed, and may be absent', () => {
    expect(parse(level)._unsafeUnwrap().serviceLevels).toEqual([{ name: 'urgent', pool: 'main', measure: 'urgentInTime', target: 0.999, withinMs: 250 }])
    expect(parseConfig(1 as ConfigVersion, { groups: [], pools: [] })._unsafeUnwrap().serviceLevels).toEqual([])
  })

  it.each([
    [[{ ...level, pool: 'other' }], /serviceLevels.urgent.pool: "other" isn't a pool/],
    [[level, level], /serviceLevels: "urgent" comes twice/],
    [[{ ...level, target: 1 }], /target.*a target of 1 leaves no budget/],
    [[{ ...level, within: '5' }], /within.*isn't a duration/],
    [[{ ...level, measure: 'speed' }], /measure/],
    [[{ ...level, extra: 1 }], /extra/]
  ])('%j is refused', (levels, problem) => {
    expect(parse(...levels)._unsafeUnwrapErr()).toMatch(problem)
  })
})
