/** Which endpoints a read may use, the best first. */

import { describe, expect, it } from 'vitest'
import type { DataCentreId } from '../../id/datacentre.ts'
import type { EndpointId } from '../../id/endpoint.ts'
import type { GroupId } from '../../id/group.ts'
import type { Instant } from '../../id/instant.ts'
import { Token } from '../../token.ts'
import { readCandidates } from './candidates.ts'
import { LogState } from './logstate.ts'

const NOW = 1000 as Instant

/**
 * Endpoints as `id@dataCentre`, with `-` for one that is leaving, `~` for one that refused a read just now because it was behind, `x` for an unreachable
 * one, `q` for one with a queue, `o` for one that needs a new connection.
 */
function order (primary: string, ...texts: string[]): string {
  const flags = new Map(texts.map(text => [text[0]!, text.slice(3)]))
  const has = (id: EndpointId, flag: string) => flags.get(id)!.includes(flag)
  return readCandidates({
    endpoints: texts.map(text => ({
      id: text[0] as EndpointId, group: 'g' as GroupId, address: { ip: '10.0.0.1', port: 1 }, dataCentre: text[2] as DataCentreId, isLeaving: text.includes('-'), isPrimary: text[0] === primary
    })),
    primary: primary as EndpointId,
    dataCentre: '1' as DataCentreId,
    logState: id => has(id, '~') ? LogState.unknown.withRefusal(NOW) : LogState.unknown,
    queued: id => has(id, 'q') ? 3 : 0,
    needsNewConnection: id => has(id, 'o'),
    isReachable: id => !has(id, 'x')
  }, Token.of(1, 5), NOW).join('')
}

describe('the candidates of a read', () => {
  it.each<[string, string[], string]>([
    ['the own data centre first, the primary last', ['a@2', 'b@2', 'c@1'], 'cba'],
    ['the primary of the own data centre before a replica elsewhere', ['a@1', 'b@2', 'c@3'], 'abc'],
    ['a replica of the own data centre before the primary there', ['a@1', 'b@1', 'c@3'], 'bac'],
    ['a replica elsewhere once the primary has a queue', ['a@1q', 'b@2', 'c@3'], 'bca'],
    ['another data centre before a queue', ['a@2', 'b@2', 'c@1q'], 'bac'],
    ['an open connection to another data centre before a new one', ['a@1o', 'b@2', 'c@1o'], 'bca'],
    ['a new connection before a queue', ['a@1q', 'b@2q', 'c@1o'], 'cab'],
    ['one that refused a read just now is left out', ['a@2', 'b@1~'], 'a'],
    ['an unreachable one is left out', ['a@2', 'b@1x'], 'a'],
    ['one that is leaving is left out', ['a@2', 'b@1-'], 'a']
  ])('%s', (_, texts, expected) => expect(order('a', ...texts)).toBe(expected))
})
