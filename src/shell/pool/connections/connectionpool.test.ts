/** Connections and places of one endpoint, in virtual time. */

import { ok, err } from 'neverthrow'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import type { Endpoint } from '../../../core/directory/endpoint.ts'
import type { TeamId } from '../../../core/id/team.ts'
import type { OthersLoad } from '../../../core/pool/load/othersload.ts'
import { ConnectionScarcity } from '../../../core/pool/placing/connectionscarcity.ts'
import { ResponseStats } from '../../../core/pool/health/responsestats.ts'
import { SessionState } from '../../../core/session/sessionstate.ts'
import type { Answer } from '../../../core/statement/answer.ts'
import type { Command } from '../../../core/statement/command.ts'
import { Log } from '../../log/log.ts'
import type { PoolGroup } from '../group.ts'
import { PoolMetrics } from '../metrics.ts'
import { Attempt } from './attempt.ts'
import { ConnectionPool } from './connectionpool.ts'
import type { EndpointLink } from './link.ts'
import { Places } from './places.ts'

// Fake timers don't replace the clock of the process.
vi.mock('../clock.ts', () => ({ clock: { now: () => Date.now(), age: () => Date.now() } }))

const ENDPOINT = { id: 'e0', places: 1 } as unknown as Endpoint
/** Another owner that reports no load, so that this host has one place and a spare one. */
const IDLE: OthersLoad = { at: () => ({ owners: 1, atWork: 0, waiting: 0, answerMs: undefined, failing: 0 }) }
const DONE = { rows: '', proof: 'p', fault: undefined, transaction: 'none', position: undefined } as unknown as Answer
const READ: Command = { kind: 'read', id: 'r', args: '1' }

/** A connection that answers when the test calls `answer`. */
class FakeLink implements EndpointLink {
  readonly values = SessionState.empty()
  isOpen = true
  isInTransaction = false
  sent = 0
  answer: (answers: readonly Answer[]) => void = () => {}
  private ended: () => void = () => {}

  constructor (readonly team: string | undefined) {}

  async ask (commands: readonly Command[], timeoutMs: number): ReturnType<EndpointLink['ask']> {
    this.sent += commands.length
    return await new Promise(resolve => {
      this.answer = answers => resolve({ answers, lost: undefined })
      setTimeout(() => resolve({ answers: [], lost: 'outOfTime' }), timeoutMs)
    })
  }

  close (): void {
    this.isOpen = false
    this.ended()
  }

  onEnd (listener: () => void): void {
    this.ended = listener
  }
}

/** A connection pool of a given size, with the connections that it opened. */
class Bench {
  readonly links: FakeLink[] = []
  readonly pool: ConnectionPool
  dialMs = 0
  /** Number of calls to `recordNoAnswer` and `recordOutOfTime`. */
  missed = 0
  /** Whether the drain time of the endpoint is over. */
  isDrained = false

  constructor (connections: number, hasSpareConnections = true, endpoint = ENDPOINT) {
    this.pool = ConnectionPool.create({
      endpoint,
      share: { connections, isOwner: true, otherOwners: [], hasSpareConnections },
      scarcity: ConnectionScarcity.none,
      chance: () => 0,
      onDialEnded: () => {},
      count: (count, queued) => Places.create({ endpoint: endpoint.id, places: count, queued, others: IDLE, answers: () => ResponseStats.create(), log: Log.silent, metrics: PoolMetrics.create(), chance: () => 0 }),
      dialer: {
        dial: async (_endpoint, team) => {
          if (this.dialMs > 0) await new Promise<void>(resolve => { setTimeout(resolve, this.dialMs) })
          const link = new FakeLink(team)
          this.links.push(link)
          return ok(link)
        },
        dialHost: async () => err('unreachable')
      }
    })
  }

  async borrow (team: string, isTransaction = false): Promise<FakeLink> {
    const borrowed = await this.pool.borrow({ rank: 1, caller: team, team: team as TeamId, remainingMs: 1000, isTransaction, values: SessionState.empty() })
    return borrowed._unsafeUnwrap() as FakeLink
  }

  /** Sends a read; `ending` is set once it has ended. */
  read (link: FakeLink, timeoutMs = 500): { ending: unknown } {
    const group = { recordRequest: () => {}, answered: () => {}, recordNoAnswer: () => { this.missed++ }, recordOutOfTime: () => { this.missed++ }, isDrained: () => this.isDrained, readRouter: { sent: () => undefined } } as unknown as PoolGroup
    const result: { ending: unknown } = { ending: 'open' }
    Attempt.on(group, this.pool, link).ask([READ], 0, timeoutMs, false).then(ending => { result.ending = ending === DONE ? 'done' : ending })
    return result
  }

  /** Sends reads, each on its own connection. */
  async reads (count: number): Promise<Array<{ link: FakeLink, result: { ending: unknown } }>> {
    const links: FakeLink[] = []
    for (let i = 0; i < count; i++) links.push(await settled(this.borrow('red')))
    const started = links.map(link => ({ link, result: this.read(link) }))
    await vi.advanceTimersByTimeAsync(0)
    return started
  }
}

async function settled<T> (promise: Promise<T>): Promise<T> {
  await vi.advanceTimersByTimeAsync(100)
  return await promise
}

beforeEach(() => { vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date'] }) })
afterEach(() => { vi.useRealTimers() })

describe('a statement at an endpoint with a limited number of places', () => {
  it('is sent once a place is free, and not before', async () => {
    const [first, second, third] = await new Bench(4).reads(3) as [Awaited<ReturnType<Bench['reads']>>[0], ...Awaited<ReturnType<Bench['reads']>>]
    expect([first.link.sent, second!.link.sent, third!.link.sent]).toEqual([1, 1, 0])
    first.link.answer([DONE])
    await vi.advanceTimersByTimeAsync(0)
    expect([first.result.ending, third!.link.sent]).toEqual(['done', 1])
  })

  it.each([['owners aren\'t assigned', false, ENDPOINT], ['the endpoint doesn\'t report its places', true, { ...ENDPOINT, places: undefined }]])('needs no place where %s', async (_name, hasSpareConnections, endpoint) => {
    const bench = new Bench(5, hasSpareConnections, endpoint)
    const reads = await bench.reads(4)
    expect(reads.map(({ link }) => link.sent)).toEqual([1, 1, 1, 1])
    expect(bench.pool.load).toBeUndefined()
  })

  it('counts as not run if it gets no place in time', async () => {
    // A write that was never sent must not be reported as one that may have run.
    const bench = new Bench(4)
    const [first, , third] = await bench.reads(3)
    await vi.advanceTimersByTimeAsync(500)
    expect([first!.result.ending, third!.result.ending, third!.link.sent]).toEqual(['outOfTime', 'busy', 0])
    expect(bench.pool.load).toMatchObject({ atWork: 0, waiting: 0 })
  })

  it('is not sent after the drain time of a leaving endpoint, which was over while it waited', async () => {
    // Guards against requests that reach a leaving endpoint too late, since they were queued in time.
    const bench = new Bench(4)
    const [first, , third] = await bench.reads(3)
    bench.isDrained = true
    first!.link.answer([DONE])
    await vi.advanceTimersByTimeAsync(0)
    expect([first!.result.ending, third!.result.ending, third!.link.sent]).toEqual(['done', 'busy', 0])
  })

  it('counts as not run if its connection breaks while it waits for a place', async () => {
    // A write that was never sent must not be reported as one that may have run.
    const bench = new Bench(4)
    const [, , third] = await bench.reads(3)
    third!.link.close()
    await vi.advanceTimersByTimeAsync(0)
    expect([third!.result.ending, third!.link.sent, bench.missed]).toEqual(['busy', 0, 1])
    expect(bench.pool.load).toMatchObject({ atWork: 2, waiting: 0 })
  })

  it('counts as not run and returns its place if its connection was broken before', async () => {
    const bench = new Bench(4)
    const link = await settled(bench.borrow('red'))
    link.close()
    const result = bench.read(link)
    await vi.advanceTimersByTimeAsync(0)
    expect([result.ending, bench.missed, bench.pool.load?.atWork]).toEqual(['busy', 1, 0])
  })

  it.each<[string, (bench: Bench) => void]>([
    ['is unreachable', ({ pool }) => pool.refuseWaiting()],
    ['was replaced', ({ pool }) => pool.close()]
  ])('stops waiting for a place if the endpoint %s', async (_name, happen) => {
    const bench = new Bench(4)
    const [, , third] = await bench.reads(3)
    happen(bench)
    await vi.advanceTimersByTimeAsync(0)
    expect([third!.result.ending, third!.link.sent]).toEqual(['busy', 0])
  })

  it('is rolled back if it\'s a commit that gets no place', async () => {
    // The transaction is still open on the connection, and the next one on it would commit its writes.
    const bench = new Bench(4)
    const [, , third] = await bench.reads(3)
    third!.link.isInTransaction = true
    await vi.advanceTimersByTimeAsync(500)
    expect(third!.result.ending).toBe('busy')
    Attempt.on({} as PoolGroup, bench.pool, third!.link).release()
    expect([third!.link.sent, third!.link.isOpen]).toEqual([1, true])
    third!.link.answer([DONE])
    await vi.advanceTimersByTimeAsync(0)
    expect(third!.link.isOpen).toBe(false)
  })

  it('is sent when the endpoint gets more places', async () => {
    // Statements must not wait while an enlarged endpoint has places for them.
    const bench = new Bench(5)
    const reads = await bench.reads(4)
    expect(reads.map(({ link }) => link.sent)).toEqual([1, 1, 0, 0])
    bench.pool.resize({ connections: 5, isOwner: true, otherOwners: [], hasSpareConnections: true }, 4)
    expect(bench.pool.load).toMatchObject({ atWork: 4, waiting: 0 })
  })
})

describe('connections that serve one team each', () => {
  it('a request waits for its team\'s connection if that is returned soon', async () => {
    // Otherwise teams that share few connections close each other's, and openings cost the endpoint more than statements.
    const bench = new Bench(2)
    const red = await settled(bench.borrow('red'))
    bench.pool.returnLink(await settled(bench.borrow('blue')))
    const second = bench.borrow('red')
    await vi.advanceTimersByTimeAsync(3)
    bench.pool.returnLink(red)
    expect(await settled(second)).toBe(red)
    expect(bench.links).toHaveLength(2)
  })

  it('the connection of the team with the least use is closed', async () => {
    // The least recently used connection may belong to a busy team.
    const bench = new Bench(3)
    for (let i = 0; i < 5; i++) bench.pool.returnLink(await settled(bench.borrow('busy')))
    bench.pool.returnLink(await settled(bench.borrow('rare')))
    bench.pool.returnLink(await settled(bench.borrow('other')))
    await settled(bench.borrow('new'))
    expect(bench.links.filter(({ isOpen }) => !isOpen).map(({ team }) => team)).toEqual(['rare'])
  })

  it('an operation whose connection takes longer than its time is refused in time, and the next one uses the connection', async () => {
    // Guards against a write that is sent after its time: the caller waits beyond it, and can't know whether the write ran.
    const bench = new Bench(2)
    bench.dialMs = 300
    const borrowed = bench.pool.borrow({ rank: 1, caller: 'red', team: 'red' as TeamId, remainingMs: 200, isTransaction: false, values: SessionState.empty() })
    let refused: unknown
    borrowed.then(result => { refused = result.isErr() ? result.error.reason : 'none' })
    await vi.advanceTimersByTimeAsync(200)
    expect(refused).toBe('busy')
    await vi.advanceTimersByTimeAsync(100)
    expect(await settled(bench.borrow('red'))).toBe(bench.links[0])
    expect([bench.links.length, bench.pool.stats.atWork, bench.pool.load?.atWork]).toEqual([1, 1, 0])
  })

  it('openings leave places for statements', async () => {
    // Statements on open connections must not wait behind openings, which increase with the length of the queue.
    const bench = new Bench(6)
    const there = await settled(bench.borrow('red'))
    bench.dialMs = 50
    const waiting = ['blue', 'green', 'grey'].map(async team => await bench.borrow(team))
    await vi.advanceTimersByTimeAsync(0)
    bench.read(there)
    await vi.advanceTimersByTimeAsync(0)
    expect([there.sent, bench.pool.load?.atWork]).toEqual([1, 2])
    await vi.advanceTimersByTimeAsync(300)
    expect(await Promise.all(waiting)).toHaveLength(3)
  })
})
