/** What owners tell each other of their load, in virtual time, and what they know while some fail. */

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

/** One owner; what it has at work is set by hand. */
class Owner {
  readonly sharedLoad = SharedLoad.create()
  readonly id = G
  atWork = 0
  isUp = true
  /** Reports that came while it stood still. */
  readonly unread: LoadReport[] = []
  hear: (report: LoadReport) => void = () => undefined
  look = () => undefined as void

  get loads () {
    return [{ endpoint: E, atWork: this.atWork, waiting: 0, answerMs: undefined, failing: 0 }]
  }
}

/** Owners `a`, `b` and so on in virtual time. */
class Owners {
  private now = 0
  private readonly owners = new Map<string, Owner>()
  /** All that were sent. */
  bytes = 0
  /** Whether a report passes from the one to the other. */
  passes = (_from: string, _to: string) => true

  constructor (private readonly names: string) {
    for (const name of names) this.start(name)
  }

  /** Starts the host, or once more in another life. */
  start (name: string): void {
    const owner = new Owner()
    owner.sharedLoad.setOwners([...this.names].filter(id => id !== name).map(hostOf))
    const reporter = LoadReporter.create({
      self: name as HostId,
      incarnation: this.now,
      transport: { onReport: listener => { owner.hear = listener }, send: (hosts, report) => hosts.forEach(({ id }) => this.carry(name, id, report)) },
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

  /** Each tenth of a second all that don't stand still look; a host that wakes runs its timers first, and reads its sockets then. */
  run (ms: number): void {
    for (let until = this.now + ms; this.now < until;) {
      this.now += 100
      for (const owner of [...this.owners.values()].filter(({ isUp }) => isUp)) {
        owner.look()
        for (const report of owner.unread.splice(0)) owner.hear(report)
      }
    }
  }

  /** What the owner knows of the others: how many, and what they have at work. */
  seen (name: string): string {
    const { owners, atWork } = this.at(name).sharedLoad.at(E, this.now as Instant)
    return `${owners}: ${atWork}`
  }

  private carry (from: string, to: string, report: LoadReport): void {
    this.bytes += reportCodec.encode(report).length
    const { isUp, unread, hear } = this.at(to)
    if (!this.passes(from, to)) return
    if (isUp) hear(report)
    else unread.push(report)
  }
}

describe('owners', () => {
  it('know what the others have, and that one has nothing any more', () => {
    const owners = new Owners('abc')
    owners.at('a').atWork = 4
    owners.run(200)
    expect([owners.seen('b'), owners.seen('c'), owners.seen('a')]).toEqual(['1: 4', '1: 4', '0: 0'])
    owners.at('a').atWork = 0
    owners.run(100)
    expect(owners.seen('b')).toBe('1: 0')
    const { bytes } = owners
    owners.run(1000)
    expect(owners.bytes).toBe(bytes)
  })

  it('that all start at once know of nobody, and of all after one report of each', () => {
    // For as long as nobody has a report each host takes the whole endpoint for its own.
    // All hosts lose their power and start together.
    const owners = new Owners('abc')
    for (const name of 'abc') owners.at(name).atWork = 2
    expect(owners.seen('a')).toBe('0: 0')
    owners.run(100)
    expect([...'abc'].map(name => owners.seen(name))).toEqual(['2: 4', '2: 4', '2: 4'])
  })

  it('forget one that is silent', () => {
    // Statements wait for places that nobody takes.
    // An owner is killed with statements at work, and never says that it's idle.
    const owners = new Owners('abc')
    owners.at('a').atWork = 4
    owners.run(200)
    owners.at('a').isUp = false
    owners.run(200)
    expect(owners.seen('b')).toBe('1: 4')
    owners.run(100)
    expect(owners.seen('b')).toBe('0: 0')
  })

  it('hear one that was started again at once', () => {
    const owners = new Owners('ab')
    owners.at('a').atWork = 4
    owners.run(500)
    owners.start('a')
    owners.at('a').atWork = 1
    owners.run(100)
    expect(owners.seen('b')).toBe('1: 1')
  })

  it('that stood still do not decide by what lay unread', () => {
    // Statements are refused or sent to other endpoints for a while after a host wakes, though no endpoint is busy.
    // The host is frozen; others report load and end it; the host reads all that at once, as if it were new.
    const owners = new Owners('ab')
    owners.at('b').atWork = 9
    owners.run(200)
    owners.at('a').isUp = false
    owners.run(1000)
    owners.at('b').isUp = false
    owners.run(3000)
    owners.at('a').isUp = true
    owners.run(100)
    expect(owners.seen('a')).toBe('0: 0')
    owners.at('b').isUp = true
    owners.run(200)
    expect(owners.seen('a')).toBe('1: 9')
  })

  it('in two halves that are cut off from each other know their own half, and all again afterwards', () => {
    // One half holds back for load of the other that it can't know, or goes on by what it knew when the cut began.
    // The link between two data centres is cut for a while.
    const owners = new Owners('abcd')
    for (const name of 'abcd') owners.at(name).atWork = 1
    owners.run(200)
    owners.passes = (from, to) => (from < 'c') === (to < 'c')
    owners.run(300)
    expect([...'abcd'].map(name => owners.seen(name))).toEqual(['1: 1', '1: 1', '1: 1', '1: 1'])
    owners.passes = () => true
    owners.run(100)
    expect(owners.seen('a')).toBe('3: 3')
  })

  it('do not count one that owns the group no more, though it still reports', () => {
    // Places are left to an owner that has none any more.
    // A host leaves; the others have taken it out of their lists, and it still ends what it has at work.
    const owners = new Owners('abc')
    owners.at('a').atWork = 4
    owners.run(200)
    owners.at('b').sharedLoad.setOwners([hostOf('c')])
    owners.run(100)
    expect([owners.seen('b'), owners.seen('c')]).toEqual(['0: 0', '1: 4'])
  })

  it.each([84, 300, 2000])('send about as many bytes with %d hosts', count => {
    const hosts = Array.from({ length: count }, (_, i) => ({ ...hostOf(`h${i}`), dataCentre: `z${i % 3}` as DataCentreId, capacity: 0.05 }))
    const { owners } = Ownerships.of([{ id: G, connections: 150, places: { perEndpoint: 2, total: 60 } }], hosts, true, dataCentreAffinity).get(G)!
    expect(owners.length).toBe(18)
    const made = new Owners('abcdefghijklmnopqrst'.slice(0, owners.length))
    for (let i = 0; i < owners.length; i++) made.at('abcdefghijklmnopqrst'[i]!).atWork = 3
    made.run(1000)
    // As many as ten a second to eight others, of this length.
    expect(made.bytes / owners.length).toBeLessThan(10 * 8 * '["a","g",0,10,[["e",3,0,null,0]]]'.length)
  })
})
