/** Read routing with lagging replicas, and with sessions that write through several proxies. */

import { create } from '@bufbuild/protobuf'
import { describe, expect, it } from 'vitest'
import { ConfirmedSchema, Run_Access as RunAccess } from '../../gen/peer_pb.ts'
import { parseConfig } from '../../core/config/document.ts'
import { Group } from '../../core/group/group.ts'
import { Sample } from '../../core/group/sample.ts'
import { TermHistory } from '../../core/termhistory.ts'
import type { DataCentreId } from '../../core/id/datacentre.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { Instant } from '../../core/id/instant.ts'
import type { Position } from '../../core/id/position.ts'
import type { SessionId } from '../../core/id/session.ts'
import type { Term } from '../../core/id/term.ts'
import type { ConfigVersion } from '../../core/id/version.ts'
import { Hints } from '../../core/routing/hints.ts'
import { SessionTable } from '../../core/session/sessiontable.ts'
import { Token } from '../../core/token.ts'
import type { CallerContext } from './context.ts'
import { Groups } from './groups.ts'
import type { Identity } from './identity.ts'
import { SessionReadRouter } from './sessionreadrouter.ts'

const IDS = ['e1', 'e2', 'e3'].map(id => id as EndpointId)
/** The clock advances by this at each reading, so that no read waits for a lagging replica. */
const STEP_MS = 20

/** A proxy of a group with primary e1 at `position` and replicas that have applied `applied`. */
class Proxy {
  now = 0
  position = 10
  rounds = 0
  beforeAnswer = (): void => undefined
  readonly reads: SessionReadRouter
  readonly groups = Groups.create()
  readonly identity: Identity

  constructor (readonly isNamed: boolean, applied: number) {
    const config = parseConfig(1 as ConfigVersion, {
      groups: [{ id: 'g', database: 'd', endpoints: IDS.map((id, i) => ({ id, address: `127.0.0.1:${i + 1}`, dataCentre: 'dc' })) }],
      pools: [{ id: 'p', groups: ['g'], callers: [], kinds: [{ name: 'browse', freshness: '2s' }] }]
    })._unsafeUnwrap()
    const group = config.groups[0]!
    this.identity = { pool: config.pools[0]!, group, caller: 'c', session: 's' as SessionId, isNamed }
    this.groups.set(Group.of(group.id, IDS))
    IDS.forEach((id, i) => this.groups.updateSample(sample(id, i === 0 ? 'primary' : 'replica', i === 0 ? this.position : applied)))
    const port = { confirm: async (id: EndpointId) => await this.confirm(id) }
    this.reads = SessionReadRouter.create({
      config: () => config, groups: this.groups, sessions: SessionTable.create(10), port: () => port, dataCentre: 'dc' as DataCentreId, chance: () => 0, now: () => (this.now += STEP_MS) as Instant
    } as unknown as CallerContext)
  }

  async read (hints = Hints.none): Promise<string> {
    const target = await this.reads.route(this.identity, hints, 1000)
    return target.kind === 'nowhere' ? target.reason : RunAccess[target.access]!.toLowerCase()
  }

  private async confirm (id: EndpointId): Promise<object> {
    if (id === IDS[0]) this.rounds++
    const received = this.position
    await new Promise(resolve => setImmediate(resolve))
    this.beforeAnswer()
    const { applied } = this.groups.get(this.identity.group.id)!.sample(id)!
    return create(ConfirmedSchema, { ok: true, term: 1, received, applied })
  }
}

function sample (id: EndpointId, role: Sample['role'], applied: number, term = 1, start = 0): Sample {
  const starts = term === 1 ? [[1, 0]] : [[1, 0], [term, start]]
  return Sample.unknown(id).with({
    role, term: term as Term, lastTerm: term as Term, received: applied as Position, applied: applied as Position, reachable: true, history: TermHistory.of(starts.map(([t, p]) => ({ term: t as Term, position: p as Position })))
  })
}

describe('Reads', () => {
  // A recent write that replicas lack may be the session's own until its write notice names another session.
  it('sends a named session to a lagging replica only when write notices show that the missing writes are not its own', async () => {
    const proxy = new Proxy(true, 9)
    expect(await proxy.read()).toBe('strict')
    proxy.groups.addWriteNotice(IDS[0]!, 1 as Term, 10 as Position, 12345)
    expect(await proxy.read()).toBe('read')
  })

  it('sends an unnamed session to a lagging replica until it has written', async () => {
    const proxy = new Proxy(false, 2)
    expect(await proxy.read()).toBe('read')
    proxy.reads.wrote(proxy.identity, Hints.none, Token.of(1, 10))
    expect(await proxy.read()).toBe('strict')
  })

  // The running round may have been answered before a write that the session made through another proxy.
  it('never uses a bound whose round started before the read arrived', async () => {
    const proxy = new Proxy(true, 10)
    const first = proxy.read()
    await new Promise(resolve => setImmediate(resolve))
    expect(proxy.rounds).toBe(1)
    proxy.position = 11
    const later = Promise.all([proxy.read(), proxy.read(), proxy.read()])
    expect(await first).toBe('read')
    expect(await later).toEqual(['strict', 'strict', 'strict'])
    expect(proxy.rounds).toBe(2)
  })

  // The bound includes an unacknowledged write, and a new term that lacks it begins before the read is routed.
  it('does not report a write as lost that was never acknowledged', async () => {
    const proxy = new Proxy(true, 9)
    proxy.beforeAnswer = () => {
      proxy.groups.updateSample(sample(IDS[1]!, 'primary', 9, 2, 9))
      proxy.groups.updateSample(sample(IDS[2]!, 'replica', 9, 2, 9))
    }
    expect(await proxy.read()).toBe('noPrimary')
  })

  // With an expired watermark, every read of bounded staleness goes to the primary until replicas reach the next.
  it('refreshes the watermark before it is too old for the reads', async () => {
    const proxy = new Proxy(false, 10)
    const browse = Hints.none.with('read', 'browse')
    expect([await proxy.read(browse), proxy.rounds]).toEqual(['read', 1])
    expect([await proxy.read(browse), proxy.rounds]).toEqual(['read', 1])
    proxy.now += 600
    expect(await proxy.read(browse)).toBe('read')
    await new Promise(resolve => setImmediate(resolve))
    expect(proxy.rounds).toBe(2)
  })

  // The primary alone acknowledged the write and failed; the new term starts below it.
  it('reports a lost write to its session exactly once', async () => {
    const proxy = new Proxy(false, 10)
    proxy.reads.wrote(proxy.identity, Hints.none, Token.of(1, 12))
    proxy.groups.updateSample(sample(IDS[1]!, 'primary', 10, 2, 10))
    proxy.groups.updateSample(sample(IDS[2]!, 'replica', 10, 2, 10))
    expect([await proxy.read(), await proxy.read()]).toEqual(['lostWrite', 'read'])
  })
})
