/** Which hosts are asked to run statements at an endpoint that this host can't reach. */

import { expect, it } from 'vitest'
import type { EndpointId } from '../../id/endpoint.ts'
import type { Instant } from '../../id/instant.ts'
import type { PoolHost } from './host.ts'
import { ReachingHosts } from './reachinghosts.ts'

/** Objections such as `h1@0 h2@900`, all about the endpoint `a`; returns the hosts that reach the endpoint at `now`. */
function reached (now: number, objections: string, endpoint = 'a'): string {
  const reaching = objections.split(' ').reduce((sum, text) => {
    const [id, at] = text.split('@')
    return sum.with('a' as EndpointId, { id } as PoolHost, Number(at) as Instant)
  }, ReachingHosts.none)
  return reaching.hosts(endpoint as EndpointId, now as Instant).map(({ id }) => id).join(' ')
}

it.each<[string, number, string, string]>([
  ['one that objected just now', 100, 'h1@0', 'h1'],
  ['two of them', 1000, 'h1@0 h2@900', 'h1 h2'],
  ['one that objected again', 3000, 'h1@0 h2@100 h1@2000', 'h1'],
  ['none when the objection has expired', 3000, 'h1@0', '']
])('%s', (_name, now, objections, hosts) => expect(reached(now, objections)).toBe(hosts))

it('no host for another endpoint', () => expect(reached(0, 'h1@0', 'b')).toBe(''))
