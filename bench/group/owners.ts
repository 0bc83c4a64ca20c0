/** A model of the owners of one group before one endpoint: each has a gate before the endpoint's places, and hears of the others by reports. */

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { CallerId } from '../../src/core/id/caller.ts'
import type { Instant } from '../../src/core/id/instant.ts'
import type { OthersLoad } from '../../src/core/pool/load/othersload.ts'
import { PlaceScheduler } from '../../src/core/pool/load/placescheduler.ts'
import type { PlaceEvent } from '../../src/core/pool/load/placeevent.ts'
import { Agenda } from '../load/agenda.ts'
import { ModelEndpoint } from './endpoint.ts'

type Others = ReturnType<OthersLoad['at']>

/** How many places one owner may use. */
interface LimitPolicy {
  at (demand: number, others: Others, now: Instant): number
  backOff (now: Instant): void
  /** `ms`: from sending to the answer. */
  answered (ms: number, rank: number, now: Instant): void
}

interface Stream {
  readonly team: string
  readonly rank: number
  readonly perSecond: number
  readonly workMs: number
  /** Owners that its statements come to, in turn by chance. */
  readonly owners: readonly number[]
  /** The part of its statements that need a connection opened before. */
  readonly opens: number
  readonly from: number
  readonly to: number
}

interface Options {
  readonly owners: number
  readonly streams: readonly Stream[]
  readonly limit: (agenda: Agenda, phase: number) => LimitPolicy
  /** Whether owners hear of each other. */
  readonly isHeard: boolean
  readonly seed: number
  readonly endMs: number
}

interface Owner {
  readonly gate: PlaceScheduler
  readonly limit: LimitPolicy
  others: Others
}

interface Job {
  readonly stream: Stream
  readonly workMs: number
  readonly askedAt: number
  readonly done: () => void
}

const PLACES = 5
const MOST_QUEUED = 40
const OPENING_MS = 12
const TRAVEL_MS = 1.5
const STATEMENT_MS = 1000
const REPORT_MS = 100
const SAMPLE_MS = 1
const TICK_MS = 10
const UINT32 = 0x100000000
const NOBODY: Others = { owners: 0, atWork: 0, waiting: 0, answerMs: undefined, failing: 0 }

/** One run. The same seed gives the same counts on every machine. */
export class OwnersModel {
  shed = 0
  private readonly answers: Array<{ readonly team: string, readonly rank: number, readonly ms: number }> = []
  private readonly asked: Array<Pick<Stream, 'team' | 'rank'>> = []
  private samples = 0
  private busy = 0
  private queued = 0
  private readonly agenda = Agenda.create()
  private readonly endpoint: ModelEndpoint
  private readonly owners: readonly Owner[]
  private readonly jobs = new Map<number, Job>()
  private readonly generator: ReturnType<typeof xoroshiro128plus>
  private nextId = 1

  private constructor (options: Options) {
    this.generator = xoroshiro128plus(options.seed)
    this.endpoint = ModelEndpoint.create({ agenda: this.agenda, places: PLACES, mostQueued: MOST_QUEUED, mostConnections: Infinity, lingerMs: 0 })
    this.owners = Array.from({ length: options.owners }, () => ({ gate: PlaceScheduler.create(), limit: options.limit(this.agenda, this.chance()), others: NOBODY }))
  }

  static run (options: Options): OwnersModel {
    const it = new OwnersModel(options)
    for (const stream of options.streams) it.agenda.add(stream.from, () => it.scheduleNext(stream))
    it.every(SAMPLE_MS, () => it.sample())
    it.every(TICK_MS, () => it.owners.forEach(owner => it.step(owner, { kind: 'tick' })))
    if (options.isHeard) it.owners.forEach((_, at) => it.agenda.add(it.chance() * REPORT_MS, () => it.every(REPORT_MS, () => it.hear(at))))
    it.agenda.runUntil(options.endMs + STATEMENT_MS)
    return it
  }

  /** The part of the places that work, while anything waits with an owner. */
  get busyWhileWaiting (): number {
    return this.busy / this.samples / PLACES
  }

  /** The mean number that waits at the endpoint, while anything waits with an owner. */
  get queuedThere (): number {
    return this.queued / this.samples
  }

  /** The time within which this part of the answers of a class came, of teams that fit. */
  quantile (rank: number, part: number, fits: (team: string) => boolean): number {
    const sorted = this.answers.filter(answer => answer.rank === rank && fits(answer.team)).map(({ ms }) => ms).sort((a, b) => a - b)
    return sorted[Math.floor(sorted.length * part)] ?? Infinity
  }

  /** The part of what a class asked that was answered, of teams that fit. */
  served (rank: number, fits: (team: string) => boolean): number {
    const count = (all: ReadonlyArray<{ readonly team: string, readonly rank: number }>) => all.filter(one => one.rank === rank && fits(one.team)).length
    return count(this.answers) / count(this.asked)
  }

  private every (ms: number, act: () => void): void {
    this.agenda.add(ms, () => {
      act()
      this.every(ms, act)
    })
  }

  private chance (): number {
    return (this.generator.next() >>> 0) / UINT32
  }

  private exponential (mean: number): number {
    return -mean * Math.log(1 - this.chance())
  }

  private sample (): void {
    if (this.owners.every(({ gate }) => gate.waiting === 0)) return
    this.samples++
    this.busy += this.endpoint.atWork
    this.queued += this.endpoint.queued
  }

  /** Each owner's reports come at moments of their own; the model lets one owner hear of all at once. */
  private hear (at: number): void {
    const rest = this.owners.filter((_, i) => i !== at)
    const sum = (pick: (gate: PlaceScheduler) => number) => rest.reduce((total, { gate }) => total + pick(gate), 0)
    this.owners[at]!.others = { ...NOBODY, owners: rest.length, atWork: sum(gate => gate.atWork), waiting: sum(gate => gate.waiting) }
  }

  private scheduleNext (stream: Stream): void {
    this.agenda.add(this.exponential(1000 / stream.perSecond), () => {
      if (this.agenda.now > stream.to) return
      this.ask(stream)
      this.scheduleNext(stream)
    })
  }

  private ask (stream: Stream): void {
    const owner = this.owners[stream.owners[Math.floor(this.chance() * stream.owners.length)]!]!
    const askedAt = this.agenda.now
    this.asked.push(stream)
    const workMs = this.exponential(stream.workMs)
    const statement = () => this.enter(owner, 'first', { stream, workMs, askedAt, done: () => this.answered(stream, askedAt) })
    if (this.chance() >= stream.opens) return statement()
    this.enter(owner, 'opening', { stream, workMs: OPENING_MS, askedAt, done: statement })
  }

  private answered ({ team, rank }: Stream, askedAt: number): void {
    this.answers.push({ team, rank, ms: this.agenda.now - askedAt })
  }

  private enter (owner: Owner, what: 'first' | 'opening', job: Job): void {
    const id = this.nextId++
    this.jobs.set(id, job)
    const { stream: { rank, team }, askedAt } = job
    this.step(owner, { kind: 'arrived', order: { id, rank, caller: team as CallerId, deadline: askedAt + STATEMENT_MS as Instant, what } })
  }

  private step (owner: Owner, event: PlaceEvent): void {
    const now = this.agenda.now as Instant
    const { gate, limit, others } = owner
    const demand = gate.atWork + gate.waiting + (event.kind === 'arrived' ? 1 : 0)
    for (const { kind, id } of gate.step(event, limit.at(demand, others, now), now)) {
      if (kind === 'start') this.send(owner, id)
    }
  }

  private send (owner: Owner, id: number): void {
    const { agenda, endpoint } = this
    const { workMs, done, stream: { rank } } = this.jobs.get(id)!
    const sentAt = agenda.now
    const back = (act: () => void) => agenda.add(TRAVEL_MS, act)
    agenda.add(TRAVEL_MS, () => {
      const isTaken = endpoint.work(workMs, () => back(() => {
        owner.limit.answered(agenda.now - sentAt, rank, agenda.now as Instant)
        this.step(owner, { kind: 'finished', id, ending: 'answered' })
        done()
      }))
      if (isTaken) return
      back(() => {
        this.shed++
        owner.limit.backOff(agenda.now as Instant)
        this.step(owner, { kind: 'finished', id, ending: 'notSent' })
      })
    })
  }
}
