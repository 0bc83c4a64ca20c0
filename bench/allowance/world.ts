/** Many hosts that share the allowances of teams, in virtual time: a row that says who issues, datagrams, and what goes wrong with them. */

import { IssuerTable } from '../../src/core/allowance/issuertable.ts'
import type { DataCentreId } from '../../src/core/id/datacentre.ts'
import type { HostId } from '../../src/core/id/host.ts'
import type { TeamId } from '../../src/core/id/team.ts'
import { mix } from '../../src/core/mix.ts'
import type { Team } from '../../src/core/pool/access/team.ts'
import type { TokenTransport } from '../../src/shell/pool/allowance/tokentransport.ts'
import { Agenda } from '../load/agenda.ts'
import { ModelHost } from './host.ts'

/** Faults of the code that the check must find. */
type Breach = 'none' | 'no wait' | 'careless' | 'full after a start' | 'credit at each start' | 'deep buckets'

interface Options {
  readonly hosts: number
  readonly teams: ReadonlyArray<{ readonly perSecond: number, readonly burst: number, /** What it asks, as a share of its rate. */ readonly load: number }>
  readonly seed: number
  readonly breach?: Breach
}

type Asked = Parameters<TokenTransport['ask']>

const BOUNDS = { windowMs: 5000, overage: 0.1, slack: 20 }
const TRUST_MS = 5600
/** A host hears from the store at least so often. */
const SYNC_MS = 4000
/** From a change of the row to the host that hears of it. */
const NEWS_MS = 50
/** One way between two hosts, and the longest. */
const WAY_MS = { least: 0.2, more: 1.8 }
const LOST_SHARE = 0.005
/** How long an operation waits for a token, and for issuers that don't answer. */
const PATIENCE_MS = 100
const SILENT_MS = 500

export class AllowanceWorld {
  readonly agenda = Agenda.create()
  readonly hosts: ModelHost[]
  /** When operations ran, by team. */
  readonly ran: number[][]
  readonly refused: number[]
  /** Datagrams between hosts, both ways. */
  datagrams = 0
  /** Milliseconds that operations waited for a token. */
  readonly waits: number[] = []
  private readonly teams: Team[]
  private row: IssuerTable
  private readonly credited = new Map<number, number>()
  private draws = 0

  constructor (private readonly options: Options) {
    const { hosts, teams, breach = 'none' } = options
    this.teams = teams.map(({ perSecond, burst }, i) => ({ id: `t${i}` as TeamId, keys: [], rate: { perSecond, burst } }))
    this.ran = teams.map(() => [])
    this.refused = teams.map(() => 0)
    const entries = Array.from({ length: hosts }, (_, i) => ({ id: `h${i}` as HostId, dataCentre: `z${i % 3}` as DataCentreId, address: { ip: '10.0.0.1', port: i }, linkPort: 0 }))
    const bounds = breach === 'deep buckets' ? { ...BOUNDS, slack: 20 * BOUNDS.slack } : BOUNDS
    this.hosts = entries.map(entry => new ModelHost(entry, {
      now: () => this.agenda.now,
      chance: () => this.chance(),
      pause: async ms => await new Promise(resolve => { this.agenda.add(ms, resolve) }),
      bounds,
      trustMs: TRUST_MS,
      team: id => this.teams.find(team => team.id === id),
      hosts: () => entries,
      ask: async (from, ...asked) => await this.ask(from, asked),
      onBegun: (host, place) => this.begun(host, place),
      isCareless: breach === 'careless',
      isForgetful: breach === 'full after a start'
    }, true))
    this.row = IssuerTable.initial(entries.map(({ id }) => id))
    for (const host of this.hosts) this.sync(host)
    for (let i = 0; i < teams.length; i++) this.arrive(i)
  }

  /** A number in [0, 1). */
  chance (): number {
    return mix(mix(this.options.seed) ^ ++this.draws) / 2 ** 32
  }

  /** Plays on. What a process does for an event is over before the next one. */
  async run (ms: number): Promise<void> {
    const end = this.agenda.now + ms
    for (let next = this.agenda.nextAt; next !== undefined && next <= end; next = this.agenda.nextAt) {
      this.agenda.runUntil(next)
      await new Promise<void>(resolve => { setImmediate(resolve) })
    }
    this.agenda.runUntil(end)
  }

  /** The hosts that issue now. */
  get issuers (): readonly ModelHost[] {
    const names = new Set(this.row.places.map(({ host }) => host))
    return this.hosts.filter(({ id }) => names.has(id))
  }

  /** Names another host for the place of one, also where nothing is wrong with that one. */
  replace (host: ModelHost): void {
    const place = this.row.places.findIndex(one => one.host === host.id)
    const up = this.hosts.filter(({ isUp, isCutFromStore }) => isUp && !isCutFromStore).map(({ id }) => id)
    const next = place < 0 ? undefined : this.row.withReplacement(place, up)
    if (next === undefined) return
    const places = this.options.breach === 'no wait' ? next.places.map(one => ({ ...one, term: 0 })) : next.places
    this.row = IssuerTable.decode(JSON.stringify(places))!
    for (const one of this.hosts) this.agenda.add(NEWS_MS * this.chance(), () => this.tell(one))
  }

  /** The operator gives a team another allowance. */
  limit (team: number, perSecond: number, burst: number): void {
    this.teams[team] = { ...this.teams[team]!, rate: { perSecond, burst } }
  }

  kill (host: ModelHost, forMs: number): void {
    host.isUp = false
    this.agenda.add(forMs, () => {
      host.restart()
      this.tell(host)
    })
  }

  /** The store turns half of the hosts away, and others are named for those among them that issue. */
  turnAway (forMs: number): void {
    const away = this.hosts.filter(() => this.chance() < 1 / 2)
    for (const one of away) one.isCutFromStore = true
    for (const one of away) this.replace(one)
    this.agenda.add(forMs, () => { for (const one of away) one.isCutFromStore = false })
  }

  freeze (host: ModelHost, forMs: number): void {
    host.freeze()
    this.agenda.add(forMs, () => { if (host.isFrozen) host.thaw() })
  }

  /** The most operations of a team in any window, as a part of what may run. */
  worstShare (team: number): number {
    const { perSecond, burst } = this.options.teams[team]!
    const most = (perSecond * BOUNDS.windowMs / 1000 + burst) * (1 + BOUNDS.overage) + BOUNDS.slack
    const times = this.ran[team]!
    let worst = 0
    for (let first = 0, last = 0; last < times.length; last++) {
      while (times[last]! - times[first]! > BOUNDS.windowMs) first++
      worst = Math.max(worst, last - first + 1)
    }
    return worst / most
  }

  /** The store keeps when a place began with its credit. */
  private begun (host: ModelHost, place: number): void {
    const { allowances } = host
    const began = this.agenda.now
    if (host.isCutFromStore) return
    if (this.options.breach !== 'credit at each start' && began - (this.credited.get(place) ?? -Infinity) <= BOUNDS.windowMs + 1000) return
    this.credited.set(place, began)
    this.agenda.add(8, () => { if (host.isRunning && host.allowances === allowances) allowances.credit(place) })
  }

  private sync (host: ModelHost): void {
    this.tell(host)
    this.agenda.add(SYNC_MS * (0.5 + this.chance() / 2), () => this.sync(host))
  }

  private tell (host: ModelHost): void {
    if (host.isRunning && !host.isCutFromStore) host.synced(this.row.encode())
  }

  /** Operations of a team come at hosts that a session of it may be at: two for each operation a second. */
  private arrive (team: number): void {
    const { perSecond, load } = this.options.teams[team]!
    const homes = Math.max(2, Math.min(this.hosts.length, Math.ceil(perSecond * load / 5)))
    const host = this.hosts[mix(mix(team + 1) ^ Math.floor(this.chance() * homes)) % this.hosts.length]!
    if (host.isRunning) this.operate(host, team)
    this.agenda.add(-Math.log(1 - this.chance()) * 1000 / (perSecond * load), () => this.arrive(team))
  }

  private async operate (host: ModelHost, team: number): Promise<void> {
    const began = this.agenda.now
    const { allowances } = host
    const taken = await allowances.take(this.teams[team]!, PATIENCE_MS, SILENT_MS)
    if (taken.isErr() || !host.isRunning || host.allowances !== allowances || taken.value < host.age) {
      this.refused[team]!++
      return
    }
    this.waits.push(this.agenda.now - began)
    this.ran[team]!.push(this.agenda.now)
  }

  private async ask (from: ModelHost, [to, { team, place, count }, timeoutMs]: Asked): ReturnType<TokenTransport['ask']> {
    const host = this.hosts.find(({ id }) => id === to.id)!
    return await new Promise(resolve => {
      this.agenda.add(timeoutMs, () => resolve(undefined))
      this.pass(from, host, () => {
        const issued = host.answerer(team, place, count)
        if (issued !== undefined) this.pass(host, from, () => resolve(issued))
      })
    })
  }

  /** What comes to a frozen host waits for it. */
  private pass (from: ModelHost, to: ModelHost, arrive: () => void): void {
    this.datagrams++
    const isSame = from === to
    if (!isSame && (from.isAlone || to.isAlone || this.chance() < LOST_SHARE)) return
    const land = () => {
      if (!to.isUp) return
      if (to.isFrozen) this.agenda.add(1, land)
      else arrive()
    }
    this.agenda.add(WAY_MS.least + WAY_MS.more * this.chance(), land)
  }
}
