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

// The clock of the process isn't among what the test's timers replace.
vi.mock('../clock.ts', () => ({ clock: { now: () => Date.now(), age: () => Date.now() } }))

const ENDPOINT = { id: 'e0', places: 1 } as unknown as Endpoint
/** Another owner that is heard and has nothing at the endpoint, so that one place and one to spare are this host's. */
const IDLE: OthersLoad = { at: () => ({ owners: 1, atWork: 0, waiting: 0, answerMs: undefined, failing: 0 }) }
const DONE = { rows: '', proof: 'p', fault: undefined, transaction: 'none', position: undefined } as unknown as Answer
const READ: Command = { kind: 'read', id: 'r', args: '1' }

/** A connection that answers when the test says so. */
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

/** A lender of so many connections, and those that it opened. */
class Bench {
  readonly links: FakeLink[] = []
  readonly lender: ConnectionPool
  dialMs = 0
  /** Signs that the endpoint is gone. */
  missed = 0

  constructor (connections: number, hasRoom = true, endpoint = ENDPOINT) {
    this.lender = ConnectionPool.create({
      endpoint,
      share: { connections, isOwner: true, otherOwners: [], hasRoom },
      thrift: ConnectionScarcity.none,
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
    const lent = await this.lender.borrow({ rank: 1, caller: team, team: team as TeamId, leftMs: 1000, isTransaction, values: SessionState.empty() })
    return lent._unsafeUnwrap() as FakeLink
  }

  /** Sends a read, and puts down how it ended. */
  read (link: FakeLink, timeoutMs = 500): { ending: unknown } {
    const group = { asked: () => {}, answered: () => {}, missed: () => { this.missed++ }, reads: { sent: () => undefined } } as unknown as PoolGroup
    const result: { ending: unknown } = { ending: 'open' }
    Attempt.on(group, this.lender, link).ask([READ], 0, timeoutMs, false).then(ending => { result.ending = ending === DONE ? 'done' : ending })
    return result
  }

  /** So many reads on connections of their own. */
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

describe('a statement and its place', () => {
  it('goes out when a place is free, and not before', async () => {
    const [first, second, third] = await new Bench(4).reads(3) as [Awaited<ReturnType<Bench['reads']>>[0], ...Awaited<ReturnType<Bench['reads']>>]
    expect([first.link.sent, second!.link.sent, third!.link.sent]).toEqual([1, 1, 0])
    first.link.answer([DONE])
    await vi.advanceTimersByTimeAsync(0)
    expect([first.result.ending, third!.link.sent]).toEqual(['done', 1])
  })

  it.each([['owners aren\'t picked', false, ENDPOINT], ['the endpoint doesn\'t tell its places', true, { ...ENDPOINT, places: undefined }]])('it needs none where %s', async (_name, hasRoom, endpoint) => {
    const bench = new Bench(5, hasRoom, endpoint)
    const reads = await bench.reads(4)
    expect(reads.map(({ link }) => link.sent)).toEqual([1, 1, 1, 1])
    expect(bench.lender.load).toBeUndefined()
  })

  it('one that gets none in its time was not run', async () => {
    // A caller is told that a write may have run, and looks for it for hours, though nobody sent it anywhere.
    // The endpoint hangs with statements at all of its places, and another one waits for a place until its time is up.
    const bench = new Bench(4)
    const [first, , third] = await bench.reads(3)
    await vi.advanceTimersByTimeAsync(500)
    expect([first!.result.ending, third!.result.ending, third!.link.sent]).toEqual(['outOfTime', 'busy', 0])
    expect(bench.lender.load).toMatchObject({ atWork: 0, waiting: 0 })
  })

  it('one whose connection breaks while it waits was not run either', async () => {
    // The same doubt about a write that was never sent.
    // The connection that it is to go out on breaks before a place is free for it.
    const bench = new Bench(4)
    const [, , third] = await bench.reads(3)
    third!.link.close()
    await vi.advanceTimersByTimeAsync(0)
    expect([third!.result.ending, third!.link.sent, bench.missed]).toEqual(['busy', 0, 1])
    expect(bench.lender.load).toMatchObject({ atWork: 2, waiting: 0 })
  })

  it('one whose connection had broken before was not run either, and gives its place back', async () => {
    const bench = new Bench(4)
    const link = await settled(bench.borrow('red'))
    link.close()
    const result = bench.read(link)
    await vi.advanceTimersByTimeAsync(0)
    expect([result.ending, bench.missed, bench.lender.load?.atWork]).toEqual(['busy', 1, 0])
  })

  it.each<[string, (bench: Bench) => void]>([
    ['is out of reach', ({ lender }) => lender.refuseWaiting()],
    ['starts anew', ({ lender }) => lender.close()]
  ])('an endpoint that %s ends the wait of all', async (_name, happen) => {
    const bench = new Bench(4)
    const [, , third] = await bench.reads(3)
    happen(bench)
    await vi.advanceTimersByTimeAsync(0)
    expect([third!.result.ending, third!.link.sent]).toEqual(['busy', 0])
  })

  it('a commit without a place is followed by a rollback', async () => {
    // A caller is told that nothing is kept, and the next transaction on the connection commits what the last one wrote.
    // Its commit has no place in time and isn't sent; the transaction stays open on the connection.
    const bench = new Bench(4)
    const [, , third] = await bench.reads(3)
    third!.link.isInTransaction = true
    await vi.advanceTimersByTimeAsync(500)
    expect(third!.result.ending).toBe('busy')
    Attempt.on({} as PoolGroup, bench.lender, third!.link).release()
    expect([third!.link.sent, third!.link.isOpen]).toEqual([1, true])
    third!.link.answer([DONE])
    await vi.advanceTimersByTimeAsync(0)
    expect(third!.link.isOpen).toBe(false)
  })

  it('an endpoint that changes its places', async () => {
    // Statements wait though the endpoint that was made larger has places for them.
    const bench = new Bench(5)
    const reads = await bench.reads(4)
    expect(reads.map(({ link }) => link.sent)).toEqual([1, 1, 0, 0])
    bench.lender.resize({ connections: 5, isOwner: true, otherOwners: [], hasRoom: true }, 4)
    expect(bench.lender.load).toMatchObject({ atWork: 4, waiting: 0 })
  })
})

describe('connections that serve one team each', () => {
  it('a team\'s own connection that is soon back is waited for', async () => {
    // Most connections serve one statement and are closed for another team's, which opens one again: openings take more of the endpoint than statements.
    // Two teams share an owner with few connections; the one sends a second statement while the first is under way.
    const bench = new Bench(2)
    const red = await settled(bench.borrow('red'))
    bench.lender.returnLink(await settled(bench.borrow('blue')))
    const second = bench.borrow('red')
    await vi.advanceTimersByTimeAsync(3)
    bench.lender.returnLink(red)
    expect(await settled(second)).toBe(red)
    expect(bench.links).toHaveLength(2)
  })

  it('the connection of the team that uses its own least is closed', async () => {
    // A busy team's connection is closed for a rare one's, since it was unused for some milliseconds longer.
    const bench = new Bench(3)
    for (let i = 0; i < 5; i++) bench.lender.returnLink(await settled(bench.borrow('busy')))
    bench.lender.returnLink(await settled(bench.borrow('rare')))
    bench.lender.returnLink(await settled(bench.borrow('other')))
    await settled(bench.borrow('new'))
    expect(bench.links.filter(({ isOpen }) => !isOpen).map(({ team }) => team)).toEqual(['rare'])
  })

  it('openings leave places to statements', async () => {
    // Statements on connections that are there wait behind openings, of which a queue brings ever more.
    const bench = new Bench(6)
    const there = await settled(bench.borrow('red'))
    bench.dialMs = 50
    const waiting = ['blue', 'green', 'grey'].map(async team => await bench.borrow(team))
    await vi.advanceTimersByTimeAsync(0)
    bench.read(there)
    await vi.advanceTimersByTimeAsync(0)
    expect([there.sent, bench.lender.load?.atWork]).toEqual([1, 2])
    await vi.advanceTimersByTimeAsync(300)
    expect(await Promise.all(waiting)).toHaveLength(3)
  })
})
