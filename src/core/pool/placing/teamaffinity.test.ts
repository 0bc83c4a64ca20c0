/** How many connections are opened for teams, depending on the affinity of their sessions. */

import { describe, expect, it } from 'vitest'
import type { DataCentreId } from '../../id/datacentre.ts'
import type { GroupId } from '../../id/group.ts'
import type { HostId } from '../../id/host.ts'
import type { TeamId } from '../../id/team.ts'
import { mix } from '../../mix.ts'
import { dataCentreAffinity } from './datacentreaffinity.ts'
import type { PoolHost } from './host.ts'
import { singleOwnerAffinity } from './singleowneraffinity.ts'
import { Ownership } from './ownership.ts'
import type { TeamAffinity } from './teamaffinity.ts'

const TEAMS = 80
const HOSTS = 84
const WORK_MS = 20
const hosts: PoolHost[] = Array.from({ length: HOSTS }, (_, i) => ({ id: `h${i}` as HostId, dataCentre: `z${i % 3}` as DataCentreId, address: { ip: '10.0.0.1', port: 1 }, linkPort: 1 }))
const few = (affinity: TeamAffinity) => Ownership.withOwners('g' as GroupId, hosts, 63, hosts.slice(0, 3), affinity)

interface Connection {
  readonly team: number
  until: number
}

/**
 * Connections opened per statement, at one endpoint with this many statements per second: an owner closes the connection that was idle longest to open one
 * for another team.
 */
function openedPerStatement (ownership: Ownership, perSecond: number): number {
  const open = new Map<string, Connection[]>()
  let seed = 1
  const chance = () => mix(seed++) / 2 ** 32
  const share = (team: number) => 1 / (team + 5)
  const all = Array.from({ length: TEAMS }, (_, i) => share(i)).reduce((sum, one) => sum + one, 0)
  const count = 20_000
  let opened = 0
  for (let i = 0; i < count; i++) {
    const now = i * 1000 / perSecond
    let team = 0
    for (let random = chance() * all - share(0); random > 0 && team < TEAMS - 1; random -= share(++team));
    const host = hosts[Math.floor(chance() * HOSTS)]!
    const owner = ownership.forwardingTargets(host, { id: `t${team}` as TeamId, share: share(team) / all })[0]?.id ?? host.id
    const links = open.get(owner) ?? []
    const idle = links.filter(({ until }) => until <= now).sort((a, b) => a.until - b.until)
    const own = idle.find(link => link.team === team)
    if (own !== undefined) own.until = now + WORK_MS
    if (own !== undefined || (idle.length === 0 && links.length >= ownership.connectionsPerOwner)) continue
    opened++
    const left = links.length < ownership.connectionsPerOwner ? links : links.filter(link => link !== idle[0])
    open.set(owner, [...left, { team, until: now + WORK_MS }])
  }
  return opened / count
}

describe('connections that are opened for teams', () => {
  it.each([20, 60, 120])('are fewer where each small team uses a single owner: %d statements a second', perSecond => {
    const [many, centre, one] = [Ownership.of('g' as GroupId, hosts, 63, true), few(dataCentreAffinity), few(singleOwnerAffinity)].map(ownership => openedPerStatement(ownership, perSecond))
    expect(one!).toBeLessThan(0.7 * centre!)
    expect(one!).toBeLessThan(0.7 * many!)
  })
})
