/** Guards against a promotion that loses an acknowledged commit, and against one that waits for an endpoint which holds no such commit. */

import { describe, expect, it } from 'vitest'
import type { Endpoint } from '../../directory/endpoint.ts'
import type { EndpointId } from '../../id/endpoint.ts'
import type { Instant } from '../../id/instant.ts'
import type { EndpointStatus } from '../../statement/endpointstatus.ts'
import { Token } from '../../token.ts'
import { CommitHolders } from './commitholders.ts'

/** Endpoints by texts such as `b` or `b@x`, where `x` is an address; the id is the address otherwise. */
const listed = (...texts: string[]) => texts.map(text => {
  const [id, ip = id] = text.split('@')
  return { id, address: { ip, port: 1 } } as unknown as Endpoint
})
const at = (ms: number) => ms as Instant
const statusesOf = (ids: string) => new Map([...ids].map(id => [id as EndpointId, { isPrimary: false, term: 1, received: Token.zero } satisfies EndpointStatus]))

describe('the endpoints that a promotion has to hear', () => {
  const group = CommitHolders.none.directoryChanged(listed('a', 'b', 'c'), at(0))
  const withoutB = group.directoryChanged(listed('a', 'c'), at(10))
  const covered = withoutB.primaryAnswered(Token.of(1, 8), at(20))

  it.each<[string, CommitHolders, string, number, string[]]>([
    ['all replicas answered', group, 'bc', 5, []],
    ['a listed replica is silent', group, 'b', 5, ['c']],
    ['only the old primary is silent', group, 'bc', 5, []],
    ['a replica disappeared', withoutB, 'c', 5, ['b']],
    ['the log has what the primary had after a replica disappeared', covered, 'c', 8, []],
    ['a replica disappeared and answers', withoutB, 'bc', 5, []],
    ['the log lacks a commit from before a replica disappeared', covered, 'c', 7, ['b']],
    ['the primary answered a request from before a replica disappeared', withoutB.primaryAnswered(Token.of(1, 8), at(5)), 'c', 8, ['b']],
    ['the primary goes on committing', covered.primaryAnswered(Token.of(1, 12), at(30)), 'c', 8, []],
    ['the replica that disappeared is listed again', withoutB.directoryChanged(listed('a', 'b', 'c'), at(30)), 'bc', 5, []],
    ['a new endpoint has taken over the log of one that left', withoutB.directoryChanged(listed('a', 'c', 'd@b'), at(30)), 'cd', 5, []],
    ['the old primary disappeared', group.directoryChanged(listed('b', 'c'), at(10)), 'bc', 5, []]
  ])('%s', (_, holders, answered, position, unheard) => {
    expect(holders.unheard(statusesOf(answered), Token.of(1, position), 'a' as EndpointId)).toEqual(unheard)
  })

  // Guards against one that lost only the store, receives, and is stopped by nobody.
  it('include those that are no longer listed', () => {
    expect(covered.unlisted.map(({ id }) => id)).toEqual(['b'])
    expect(covered.directoryChanged(listed('a', 'b', 'c'), at(30)).unlisted).toEqual([])
  })

  it('don\'t include one that disappeared before an earlier promotion', () => {
    const promoted = covered.primaryAnswered(Token.of(2, 1), at(40))
    expect(promoted.unheard(statusesOf('a'), Token.of(1, 3), 'c' as EndpointId)).toEqual([])
  })
})
