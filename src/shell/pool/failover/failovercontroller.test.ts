/** Guards against replacing a healthy primary behind a full link, where new connections come late, and against one that is down and isn't replaced. Virtual time. */

import { err, ok, type Result } from 'neverthrow'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { Directory } from '../../../core/directory/directory.ts'
import type { Endpoint } from '../../../core/directory/endpoint.ts'
import type { DataCentreId } from '../../../core/id/datacentre.ts'
import type { EndpointId } from '../../../core/id/endpoint.ts'
import type { GroupId } from '../../../core/id/group.ts'
import type { HostId } from '../../../core/id/host.ts'
import type { Instant } from '../../../core/id/instant.ts'
import { SessionState } from '../../../core/session/sessionstate.ts'
import type { Answer } from '../../../core/statement/answer.ts'
import type { Command } from '../../../core/statement/command.ts'
import { Token } from '../../../core/token.ts'
import { events } from '../../log/events.ts'
import { Log } from '../../log/log.ts'
import { Attempt } from '../connections/attempt.ts'
import type { DialFault } from '../connections/dialfault.ts'
import type { EndpointLink } from '../connections/link.ts'
import { PoolGroup } from '../group.ts'
import { PoolMetrics } from '../metrics.ts'
import type { Platform } from '../platform.ts'
import { FailoverController } from './failovercontroller.ts'

// Fake timers don't replace the clock of the process.
vi.mock('../clock.ts', () => ({ clock: { now: () => Date.now(), age: () => Date.now() } }))
vi.mock('node:timers/promises', () => ({ setTimeout: async (ms: number) => await new Promise<void>(resolve => { setTimeout(resolve, ms) }) }))

const GROUP = 'g' as GroupId
const PRIMARY = 'a' as EndpointId
const DIRECTORY = ['a', 'b', 'c'].reduce((sum, id) => sum.with({ id, group: GROUP, address: { ip: id, port: 1 }, isPrimary: id === PRIMARY, isLeaving: false } as unknown as Endpoint, 1), Directory.empty)
const TICK_MS = 100

/** How an endpoint treats new connections. */
interface Behaviour {
  /** Milliseconds until a connection is open, and until it answers. */
  readonly ms: number
  readonly position: number
  readonly fault?: DialFault
}

const isOrder = (act: string) => act.startsWith('promote')

/** A host with a real group and controller; its endpoints, its store and the platform are fakes. */
class Bench {
  readonly behaviours = new Map<EndpointId, Behaviour>(['a', 'b', 'c'].map(id => [id as EndpointId, { ms: 10, position: 5 }]))
  readonly group: PoolGroup
  /** The platform's answer to an order. */
  outcome: 'done' | 'unknown' = 'done'
  /** Claims of the lease, objections and orders, in order. */
  readonly acts: string[] = []
  /** The endpoints that were logged as unreachable. */
  readonly unreached: string[] = []
  private readonly controller: FailoverController
  private version = 0

  constructor () {
    const log = Log.to(line => {
      const { event, endpoint } = JSON.parse(line) as { readonly event: number, readonly endpoint: string }
      if (event === events.endpointUnreachable.id) this.unreached.push(endpoint)
    })
    const metrics = PoolMetrics.create()
    const dialer = { dial: async ({ id }: Endpoint, _team: unknown, timeoutMs: number) => await this.dial(id, timeoutMs), dialHost: async () => err('unreachable' as const) }
    this.group = PoolGroup.create({ id: GROUP, dataCentre: 'd' as DataCentreId, drainMs: 4000, dialer, log, metrics, chance: () => 0, startedAt: Date.now() as Instant })
    this.group.updateDirectory(DIRECTORY, 0)
    this.group.setShare({ connections: 4, isOwner: true, hasSpareConnections: false, otherOwners: [] })
    const store = {
      change: async ([{ key }]: readonly [{ readonly key: string }]) => {
        this.acts.push(key)
        return ok(++this.version)
      },
      read: async () => ok({ rows: [], version: this.version, storeMs: 0 })
    }
    const orders = {
      promote: async ({ endpoint }: { readonly endpoint: EndpointId }) => {
        this.acts.push(`promote ${endpoint}`)
        return this.outcome
      }
    }
    this.controller = FailoverController.create({ host: 'h1' as HostId, group: this.group, platform: { store, dialer, orders } as unknown as Platform, table: 't', log, metrics, hosts: () => [], failoverOrder: () => ['h1' as HostId], drainMs: 4000, isSynchronous: () => false, signal: new AbortController().signal })
  }

  /** The primary answers a statement each `everyMs` that was sent to it one interval before. */
  async serve (ms: number, everyMs: number): Promise<void> {
    for (const until = Date.now() + ms; Date.now() < until;) {
      this.group.recordRequest(PRIMARY)
      await this.pass(everyMs)
      this.group.answered(PRIMARY, Token.of(1, 5), Date.now() - everyMs as Instant, true)
    }
  }

  async pass (ms: number): Promise<void> {
    for (const until = Date.now() + ms; Date.now() < until;) {
      if (Date.now() % TICK_MS === 0) this.controller.tick()
      await vi.advanceTimersByTimeAsync(10)
    }
  }

  /** A statement of a caller that needs a new connection to the primary. */
  borrow (): void {
    this.group.connectionPool(PRIMARY)!.borrow({ rank: 1, caller: 'c', team: undefined, remainingMs: 4000, isTransaction: false, values: SessionState.empty() })
  }

  /** A statement on a connection of its own that the primary doesn't answer. */
  hang (): void {
    const source = { endpoint: { id: PRIMARY }, requestPlace: () => undefined, returnLink: () => {}, closeIdle: () => {} }
    const link = { ...this.link(PRIMARY), ask: async (_commands: unknown, timeoutMs: number) => await pause(timeoutMs).then(() => ({ answers: [], lost: 'outOfTime' as const })) }
    Attempt.on(this.group, source, link).ask([{ kind: 'read', id: 'r', args: '1' }], 0, 1000, false)
  }

  private async dial (id: EndpointId, timeoutMs: number): Promise<Result<EndpointLink, DialFault>> {
    const { ms, fault } = this.behaviours.get(id)!
    await pause(Math.min(ms, timeoutMs))
    if (ms >= timeoutMs) return err('outOfTime')
    return fault === undefined ? ok(this.link(id)) : err(fault)
  }

  private link (id: EndpointId): EndpointLink {
    return {
      values: SessionState.empty(),
      isOpen: true,
      isInTransaction: false,
      ask: async (commands, timeoutMs) => {
        const { ms } = this.behaviours.get(id)!
        await pause(Math.min(ms, timeoutMs))
        return ms >= timeoutMs ? { answers: [], lost: 'outOfTime' } : { answers: commands.map(command => this.answer(id, command)), lost: undefined }
      },
      close: () => {},
      onEnd: () => {}
    }
  }

  private answer (id: EndpointId, { kind }: Command): Answer {
    const position = Token.of(1, this.behaviours.get(id)!.position)
    const status = kind === 'status' ? { isPrimary: id === PRIMARY, term: 1, received: position } : undefined
    return { fault: kind === 'begin' && id !== PRIMARY ? 'notPrimary' : undefined, position, sentAt: Date.now(), status } as unknown as Answer
  }
}

async function pause (ms: number): Promise<void> {
  await new Promise<void>(resolve => { setTimeout(resolve, ms) })
}

beforeEach(() => { vi.useFakeTimers({ now: 100_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date'] }) })
afterEach(() => { vi.useRealTimers() })

describe('a primary that answers on open connections', () => {
  // Guards against the replacement of a healthy primary: this host's link is full, and probes fail while answers keep coming.
  it('stays while probes are out of time on new connections', async () => {
    const bench = new Bench()
    bench.behaviours.set(PRIMARY, { ms: 60_000, position: 5 })
    await bench.serve(5000, 280)
    expect([bench.acts, bench.unreached]).toEqual([[], []])
  })

  // Guards against the same by callers' own connections, which are opened at once and late together.
  it('stays while connections for callers are out of time', async () => {
    const bench = new Bench()
    bench.behaviours.set(PRIMARY, { ms: 60_000, position: 5 })
    for (let i = 0; i < 3; i++) bench.borrow()
    await bench.serve(5000, 70)
    expect([bench.acts, bench.unreached]).toEqual([[], []])
  })

  // Guards against an endpoint that is given up for one statement: others are refused, and reads under way are cut, though it answers.
  it('stays reachable when a statement is out of time', async () => {
    const bench = new Bench()
    for (let i = 0; i < 3; i++) bench.hang()
    await bench.serve(2000, 280)
    expect([bench.acts, bench.unreached]).toEqual([[], []])
  })

  // Guards against the loss of what it commits meanwhile: this host reaches it again between the claim of the lease and the order.
  it('stays if it was silent until the lease was claimed', async () => {
    const bench = new Bench()
    bench.behaviours.set(PRIMARY, { ms: 60_000, position: 5 })
    bench.group.recordRequest(PRIMARY)
    while (bench.acts.length === 0) await bench.pass(10)
    bench.behaviours.set(PRIMARY, { ms: 10, position: 5 })
    await bench.pass(5000)
    expect(bench.acts).toEqual(['lease/g'])
  })

  // Guards against the loss of what it commits from then on: the order is carried out late, and its successor lacks all of that.
  it('is not left with an order without an answer that may still be carried out', async () => {
    const bench = new Bench()
    bench.outcome = 'unknown'
    bench.behaviours.set(PRIMARY, { ms: 60_000, position: 5 })
    bench.group.recordRequest(PRIMARY)
    while (!bench.acts.some(isOrder)) await bench.pass(10)
    bench.behaviours.set(PRIMARY, { ms: 10, position: 5 })
    await bench.serve(5000, 70)
    // Its own commits wait for the successor, or a newer order has made that one void.
    const isSafe = bench.group.successorOf(PRIMARY) === 'b' || bench.acts.findLast(isOrder) !== 'promote b'
    expect(isSafe).toBe(true)
  })

  it('counts as unreachable when it refuses new connections, also if it answered while they were being opened', async () => {
    const bench = new Bench()
    bench.behaviours.set(PRIMARY, { ms: 100, position: 5, fault: 'unreachable' })
    await bench.serve(5000, 280)
    expect(bench.unreached).toContain('a')
  })
})

describe('a primary that answers nothing any more', () => {
  // Guards against the loss of commits that a replica has received: its answer is late on this host's full link, and a shorter log is promoted.
  it('is replaced by the longest log, also if that replica answers late', async () => {
    const bench = new Bench()
    bench.behaviours.set(PRIMARY, { ms: 60_000, position: 9 })
    bench.behaviours.set('c' as EndpointId, { ms: 400, position: 9 })
    bench.group.recordRequest(PRIMARY)
    await bench.pass(5000)
    expect(bench.acts.slice(0, 2)).toEqual(['lease/g', 'promote c'])
  })

  it('is replaced, also when it still answered while a connection to it was being opened', async () => {
    const bench = new Bench()
    bench.behaviours.set(PRIMARY, { ms: 60_000, position: 5 })
    bench.borrow()
    await bench.serve(210, 70)
    await bench.pass(5000)
    expect(bench.acts.slice(0, 2)).toEqual(['lease/g', 'promote b'])
  })
})
