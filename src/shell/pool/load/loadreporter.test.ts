/** Load reports between owners in virtual time, with owners that fail, restart or are cut off. */

import { describe, expect, it } from 'vitest'
import type { DataCentreId } from '../../../core/id/datacentre.ts'
import type { EndpointId } from '../../../core/id/endpoint.ts'
import type { GroupId } from '../../../core/id/group.ts'
import type { HostId } from '../../../core/id/host.ts'
import type { Instant } from '../../../core/id/instant.ts'
import type { LoadReport } from '../../../core/pool/load/loadreport.ts'
import { reportCodec } from '../../../core/pool/load/reportcodec.ts'
import type { PoolHost } from '../../../core/pool/placing/host.ts'
import { dataCentreAffinity } from '../../../core/pool/placing/datacentreaffinity.ts'
import { Ownerships } from '../../../core/pool/placing/ownerships.ts'
import { Log } from '../../log/log.ts'
import { PoolMetrics } from '../metrics.ts'
import { LoadReporter } from './loadreporter.ts'
import { SharedLoad } from './sharedload.ts'

const G = 'g' as GroupId
const E = 'e' as EndpointId

function hostOf (id: string): PoolHost {
  return { id: id as HostId, dataCentre: 'z' as DataCentreId, address: { ip: '10.0.0.1', port: 1 }, linkPort: 1 }
}

/** An owner whose number of running statements is set by the test. */
class Owner {
  readonly sharedLoad = SharedLoad.create()
  readonly id = G
  atWork = 0
  isUp = true
  /** Reports that arrived while it was suspended. */
  readonly unread: LoadReport[] = []
  receive: (report: LoadReport) => void = () => undefined
  look = () => undefined as void

  get loads () {
    return [{ endpoint: E, atWork: this.atWork, waiting: 0, answerMs: undefined, failing: 0 }]
  }
}

/** Owners named `a`, `b` and so on in virtual time. */
class Owners {
  private now = 0
  private readonly owners = new Map<string, Owner>()
  /** Total size of the reports sent. */
  bytes = 0
  /** Whether a report from one owner reaches another. */
  passes = (_from: string, _to: string) => true

  constructor (private readonly names: string) {
    for (const name of names) this.start(name)
  }

  /** Starts the owner, or restarts it as a new incarnation. */
  start (name: string): void {
    const owner = new Owner()
    owner.sharedLoad.setOwners([...this.names].filter(id => id !== name).map(hostOf))
    const reporter = LoadReporter.create({
      self: name as HostId,
      incarnation: this.now,
      transport: { onReport: listener => { owner.receive = listener }, send: (hosts, report) => hosts.forEach(({ id }) => this.deliver(name, id, report)) },
      groups: () => [owner],
      group: () => owner,
      now: () => this.now as Instant,
      age: () => this.now as Instant,
      log: Log.silent,
      metrics: PoolMetrics.create()
    })
    owner.look = () => reporter.tick()
    this.owners.set(name, owner)
  }

  at (name: string): Owner {
    return this.owners.get(name)!
  }

  /** Ticks all running owners every 100 ms. An owner that resumes runs its timers before it reads its sockets. */
  run (ms: number): void {
    for (let until = this.now + ms; this.now < until;) {
      this.now += 100
      for (const owner of [...this.owners.values()].filter(({ isUp }) => isUp)) {
        owner.look()
        for (const report of owner.unread.splice(0)) owner.receive(report)
      }
    }
  }

  /** The number of other owners that the owner knows, and their running statements. */
  knownLoad (name: string): string {
    const { owners, atWork } = this.at(name).sharedLoad.at(E, this.now as Instant)
    return `${owners}: ${atWork}`
  }

  private deliver (from: string, to: string, report: LoadReport): void {
    this.bytes += reportCodec.encode(report).length
    const { isUp, unread, receive } = this.at(to)
    if (!this.passes(from, to)) return
    if (isUp) receive(report)
    else unread.push(report)
  }
}

describe('owners', () => {
  it('know the load of the others, also when it drops to zero', () => {
    const owners = new Owners('abc')
    owners.at('a').atWork = 4
    owners.run(200)
    expect([owners.knownLoad('b'), owners.knownLoad('c'), owners.knownLoad('a')]).toEqual(['1: 4', '1: 4', '0: 0'])
    owners.at('a').atWork = 0
    owners.run(100)
    expect(owners.knownLoad('b')).toBe('1: 0')
    const { bytes } = owners
    owners.run(1000)
    expect(owners.bytes).toBe(bytes)
  })

  it('that start together know all others after one report of each', () => {
    // Without reports, each host would use the whole endpoint after a power loss of all hosts.
    const owners = new Owners('abc')
    for (const name of 'abc') owners.at(name).atWork = 2
    expect(owners.knownLoad('a')).toBe('0: 0')
    owners.run(100)
    expect([...'abc'].map(name => owners.knownLoad(name))).toEqual(['2: 4', '2: 4', '2: 4'])
  })

  it('drop the load of an owner that is silent', () => {
    // An owner that is killed never reports that it's idle, so its places would stay reserved.
    const owners = new Owners('abc')
    owners.at('a').atWork = 4
    owners.run(200)
    owners.at('a').isUp = false
    owners.run(200)
    expect(owners.knownLoad('b')).toBe('1: 4')
    owners.run(100)
    expect(owners.knownLoad('b')).toBe('0: 0')
  })

  it('accept reports of a restarted owner at once', () => {
    const owners = new Owners('ab')
    owners.at('a').atWork = 4
    owners.run(500)
    owners.start('a')
    owners.at('a').atWork = 1
    owners.run(100)
    expect(owners.knownLoad('b')).toBe('1: 1')
  })

  it('that were suspended ignore the reports that arrived meanwhile', () => {
    // A resumed host would take the old reports in its socket for new ones, and refuse statements though no endpoint is busy.
    const owners = new Owners('ab')
    owners.at('b').atWork = 9
    owners.run(200)
    owners.at('a').isUp = false
    owners.run(1000)
    owners.at('b').isUp = false
    owners.run(3000)
    owners.at('a').isUp = true
    owners.run(100)
    expect(owners.knownLoad('a')).toBe('0: 0')
    owners.at('b').isUp = true
    owners.run(200)
    expect(owners.knownLoad('a')).toBe('1: 9')
  })

  it('in two partitions know the owners of their own partition, and all owners after it heals', () => {
    // One partition would go on with the load that the other reported before the cut.
    const owners = new Owners('abcd')
    for (const name of 'abcd') owners.at(name).atWork = 1
    owners.run(200)
    owners.passes = (from, to) => (from < 'c') === (to < 'c')
    owners.run(300)
    expect([...'abcd'].map(name => owners.knownLoad(name))).toEqual(['1: 1', '1: 1', '1: 1', '1: 1'])
    owners.passes = () => true
    owners.run(100)
    expect(owners.knownLoad('a')).toBe('3: 3')
  })

  it('ignore a host that no longer owns the group, though it still reports', () => {
    // A host that leaves still finishes its running statements; places must not be reserved for it.
    const owners = new Owners('abc')
    owners.at('a').atWork = 4
    owners.run(200)
    owners.at('b').sharedLoad.setOwners([hostOf('c')])
    owners.run(100)
    expect([owners.knownLoad('b'), owners.knownLoad('c')]).toEqual(['0: 0', '1: 4'])
  })

  it.each([84, 300, 2000])('send a bounded number of bytes with %d hosts', count => {
    const hosts = Array.from({ length: count }, (_, i) => ({ ...hostOf(`h${i}`), dataCentre: `z${i % 3}` as DataCentreId, capacity: 0.05 }))
    const { owners } = Ownerships.of([{ id: G, connections: 150, places: { perEndpoint: 2, total: 60 } }], hosts, true, dataCentreAffinity).get(G)!
    expect(owners.length).toBe(18)
    const started = new Owners('abcdefghijklmnopqrst'.slice(0, owners.length))
    for (let i = 0; i < owners.length; i++) started.at('abcdefghijklmnopqrst'[i]!).atWork = 3
    started.run(1000)
    // At most ten reports a second to eight owners, each of this length.
    expect(started.bytes / owners.length).toBeLessThan(10 * 8 * '["a","g",0,10,[["e",3,0,null,0]]]'.length)
  })
})
