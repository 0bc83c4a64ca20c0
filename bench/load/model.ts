/**
 * A queueing model of one endpoint with its pair of slots, in virtual time:
 * streams of requests, service times, clients that come back. It's no
 * simulation of a cluster; it measures what a policy makes of a load.
 */

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { AdmissionAction } from '../../src/core/admission/action.ts'
import type { AdmissionEvent } from '../../src/core/admission/event.ts'
import type { CallerId } from '../../src/core/id/caller.ts'
import type { Instant } from '../../src/core/id/instant.ts'
import { Agenda } from './agenda.ts'
import type { Policy } from './policy.ts'
import type { Stream } from './stream.ts'
import { Tally } from './tally.ts'

interface Options {
  readonly seed: number
  readonly streams: readonly Stream[]
  readonly policy: () => Policy
  readonly connectMs: number
  readonly endMs: number
  /** How often a client comes back after it was refused or got no answer. */
  readonly returns: number
}

interface Request {
  readonly id: number
  readonly tally: Tally
  readonly slot: Policy
  readonly deadline: number
  /** 0 for the first try. */
  readonly tries: number
  state: 'waiting' | 'running' | 'over'
  startedAt: number
}

const SLOTS = 2
const TICK_MS = 20
/** When a client comes back that wasn't told a time. */
const UNTOLD_MS = 100
const RETURN_WINDOW_MS = 20
const UINT32 = 0x100000000

/** One run. The same seed gives the same counts on every machine. */
export class LoadModel {
  readonly tallies: readonly Tally[]
  mostQueued = 0
  /** Clients that came back, by the window in which they did. */
  readonly returned: number[] = []
  private readonly agenda = Agenda.create()
  private readonly slots: readonly Policy[]
  private readonly requests = new Map<number, Request>()
  private readonly generator: ReturnType<typeof xoroshiro128plus>
  private nextId = 1

  private constructor (private readonly options: Options) {
    this.generator = xoroshiro128plus(options.seed)
    this.tallies = options.streams.map(stream => Tally.of(stream))
    this.slots = Array.from({ length: SLOTS }, () => options.policy())
  }

  static run (options: Options): LoadModel {
    const it = new LoadModel(options)
    for (const tally of it.tallies) it.scheduleNext(tally)
    for (const slot of it.slots) it.tick(slot)
    it.agenda.runUntil(options.endMs)
    return it
  }

  tally (name: string): Tally {
    return this.tallies.find(one => one.stream.name === name)!
  }

  /** Useful connection time in a period, over what all connections have. */
  goodput (from: number, to: number, connections: number): number {
    const work = this.tallies.reduce((sum, tally) => sum + tally.work(from, to), 0)
    return work / ((to - from) * connections)
  }

  private chance (): number {
    return (this.generator.next() >>> 0) / UINT32
  }

  private exponential (mean: number): number {
    return -mean * Math.log(1 - this.chance())
  }

  private scheduleNext (tally: Tally): void {
    const { perSecond, load } = tally.stream
    const rate = perSecond * load(this.agenda.now)
    this.agenda.add(this.exponential(1000 / rate), () => {
      tally.offer(this.agenda.now)
      this.arrive(tally, 0)
      this.scheduleNext(tally)
    })
  }

  private tick (slot: Policy): void {
    this.agenda.add(TICK_MS, () => {
      this.step(slot, { kind: 'tick' })
      this.tick(slot)
    })
  }

  private arrive (tally: Tally, tries: number): void {
    const { stream } = tally
    const { now } = this.agenda
    const slot = this.slots[Math.floor(this.chance() * SLOTS)]!
    const req: Request = { id: this.nextId++, tally, slot, deadline: now + stream.deadlineMs, tries, state: 'waiting', startedAt: 0 }
    this.requests.set(req.id, req)
    this.agenda.add(stream.deadlineMs, () => this.expire(req))
    this.step(slot, {
      kind: 'arrived',
      request: {
        id: req.id,
        rank: stream.rank,
        caller: stream.name as CallerId,
        deadline: req.deadline as Instant,
        isTransaction: stream.isTransaction ?? false
      }
    })
    this.mostQueued = Math.max(this.mostQueued, slot.queued)
  }

  private step (slot: Policy, event: AdmissionEvent): void {
    for (const action of slot.step(event, this.agenda.now as Instant, this.chance())) this.act(slot, action)
  }

  private act (slot: Policy, action: AdmissionAction): void {
    if (action.kind === 'open') return this.agenda.add(this.options.connectMs, () => this.step(slot, { kind: 'opened' }))
    const req = this.requests.get(action.id)!
    if (action.kind === 'start') return this.start(req)
    req.state = 'over'
    this.requests.delete(req.id)
    req.tally.refused++
    this.comeBack(req, action.retryAfterMs)
  }

  private start (req: Request): void {
    req.state = 'running'
    req.startedAt = this.agenda.now
    this.agenda.add(this.exponential(req.tally.stream.serviceMs), () => this.finish(req))
  }

  private finish (req: Request): void {
    if (req.state !== 'running') return
    const { now } = this.agenda
    const { tally } = req
    this.end(req, true)
    if (now > req.deadline) return
    tally.worked(now, now - req.startedAt)
    if (req.tries === 0) tally.inTime(req.deadline - tally.stream.deadlineMs)
  }

  /** The client gives up. A policy that knows of it closes the connection of what runs. */
  private expire (req: Request): void {
    if (req.state === 'over') return
    req.tally.late++
    this.comeBack(req, UNTOLD_MS)
    if (req.slot.runsLate === true) return
    if (req.state === 'running') return this.end(req, false)
    req.state = 'over'
    this.requests.delete(req.id)
    this.step(req.slot, { kind: 'cancelled', id: req.id })
  }

  private end (req: Request, isUsable: boolean): void {
    req.state = 'over'
    this.requests.delete(req.id)
    this.step(req.slot, { kind: 'finished', id: req.id, isUsable })
  }

  private comeBack (req: Request, ms: number): void {
    if (req.tries >= this.options.returns) return
    this.agenda.add(ms, () => {
      const window = Math.floor(this.agenda.now / RETURN_WINDOW_MS)
      this.returned[window] = (this.returned[window] ?? 0) + 1
      this.arrive(req.tally, req.tries + 1)
    })
  }
}
