/** Many hosts before one store, in virtual time, with the links between them. */

import { Agenda } from '../../bench/load/agenda.ts'
import type { DataCentreId } from '../../src/core/id/datacentre.ts'
import type { HostId } from '../../src/core/id/host.ts'
import type { LinkId } from '../../src/core/pool/membership/linkid.ts'
import { SyncTimings } from '../../src/core/pool/membership/synctimings.ts'
import { linkOf } from '../../src/core/pool/membership/linkof.ts'
import type { SyncMessage } from '../../src/core/pool/membership/syncmessage.ts'
import { mix } from '../../src/core/mix.ts'
import { ModelHost } from './host.ts'
import { ModelStore } from './store.ts'

interface Link {
  readonly number: number
  readonly from: ModelHost
  readonly to: ModelHost
  readonly id: LinkId
  isOpen: boolean
}

interface Options {
  readonly hosts: number
  readonly dataCentres: number
  readonly applyMs: number
  readonly seed: number
  /** Hosts that the settings name. */
  readonly seeds: number
  /** What each host's link carries; undefined for any number of bytes at once. */
  readonly linkBytesPerMs?: number
  /** Numbers of hosts of an earlier program version, which confirm nothing and let nobody confirm. */
  readonly earlier?: ReadonlySet<number>
}

const NEAR_MS = 1
const FAR_MS = 3
/** Longer words are compressed, to so large a part. */
const COMPRESSED_FROM_CHARACTERS = 2000
const COMPRESSED_SHARE = 0.1
/** All start within so long. */
const START_MS = 300

export class ControlWorld {
  readonly agenda = Agenda.create()
  readonly store = new ModelStore(this.agenda)
  readonly hosts: ModelHost[] = []
  /** Words and their characters that passed between hosts. */
  readonly said = { words: 0, characters: 0 }
  /** One-way cuts, as `from>to`. */
  readonly cuts = new Set<string>()
  /** Confirmations sent to hosts of an earlier program version, or by them. */
  unreadable = 0
  /** The longest time that a word waited behind others on its host's link, in milliseconds, since it was last set to 0. */
  longestQueueMs = 0
  /** When the link of a host will have carried all that it was given. */
  private readonly freeAt = new Map<ModelHost, number>()
  private readonly links = new Map<number, Link>()
  /** The same, by who opened them. */
  private readonly opened = new Map<ModelHost, Map<LinkId, Link>>()
  private readonly sizes = new WeakMap<SyncMessage, number>()
  private number = 0
  private draws = 0

  constructor (private readonly options: Options) {
    this.store.put('config', 'config', '1')
    this.store.put('endpoints', 'e0', 'x')
    for (let i = 0; i < options.hosts; i++) this.agenda.add(this.chance() * START_MS, () => this.start(i, 1))
  }

  get now (): number {
    return this.agenda.now
  }

  /** A number in [0, 1). */
  chance (): number {
    return mix(mix(this.options.seed) ^ ++this.draws) / 2 ** 32
  }

  /** Starts the host with the number, anew if it ran before. */
  start (i: number, incarnation: number): void {
    const { seeds, dataCentres, applyMs } = this.options
    const entryOf = (n: number, life: number) => ({
      id: `h${String(n).padStart(3, '0')}` as HostId, dataCentre: `z${n % dataCentres}` as DataCentreId, address: { ip: `10.0.0.${n}`, port: 1 }, linkPort: 2, incarnation: life, isLeaving: false
    })
    const named = Array.from({ length: seeds }, (_, n) => linkOf(entryOf(n, 1)))
    const entry = entryOf(i, incarnation)
    const own = linkOf(entry)
    this.hosts[i] = new ModelHost(this, { self: entry, seeds: named.filter(seed => seed !== own), isSeed: named.includes(own), isFirstStart: incarnation === 1, pace: SyncTimings.of({ applyMs, drainMs: 10_000, historyMs: 20_000 }) })
  }

  /** For how long the store has had a newer configuration than the version, in milliseconds; 0 when it has none. */
  missingMs (version: number): number {
    const first = this.store.puts.find(one => one.table === 'config' && one.number > version)
    return first === undefined ? 0 : this.now - first.at
  }

  /** Ends a process; `isSilent`: without power, so that nobody hears of it. */
  kill (host: ModelHost, isSilent = false): void {
    host.isUp = false
    for (const link of [...this.links.values()].filter(({ from, to }) => from === host || to === host)) {
      this.forget(link)
      if (isSilent) continue
      const other = link.from === host ? link.to : link.from
      this.later(host, other, () => other.step(link.from === host ? { kind: 'left', link: link.number } : { kind: 'lost', link: link.id }))
    }
  }

  restart (host: ModelHost, afterMs: number): void {
    const i = this.hosts.indexOf(host)
    this.agenda.add(afterMs, () => this.start(i, host.options.self.incarnation + 1))
  }

  run (ms: number): void {
    this.agenda.runUntil(this.now + ms)
  }

  /** The readers that a host hears now. */
  sourcesOf (host: ModelHost): readonly ModelHost[] {
    return [...this.opened.get(host)?.values() ?? []].filter(({ isOpen }) => isOpen).map(({ to }) => to)
  }

  open (from: ModelHost, id: LinkId): void {
    const to = this.hosts.find(host => host !== undefined && linkOf(host.options.self) === id)
    if (to === undefined || !to.isUp) {
      // Nobody listens there: a reset, or nothing at all where the power is out.
      return this.agenda.add(NEAR_MS, () => from.step({ kind: 'lost', link: id }))
    }
    const link: Link = { number: ++this.number, from, to, id, isOpen: false }
    this.links.set(link.number, link)
    this.opened.set(from, (this.opened.get(from) ?? new Map<LinkId, Link>()).set(id, link))
    this.later(from, to, () => this.later(to, from, () => {
      if (!this.links.has(link.number)) return
      link.isOpen = true
      from.step({ kind: 'opened', link: id })
    }))
  }

  close (from: ModelHost, id: LinkId): void {
    const link = this.linkOf(from, id)
    if (link === undefined) return
    this.forget(link)
    this.later(from, link.to, () => link.to.step({ kind: 'left', link: link.number }))
  }

  drop (to: ModelHost, number: number): void {
    const link = this.links.get(number)
    if (link === undefined) return
    this.forget(link)
    this.later(to, link.from, () => link.from.step({ kind: 'lost', link: link.id }))
  }

  say (from: ModelHost, id: LinkId, word: Extract<SyncMessage, { kind: 'follow' | 'alive' | 'confirm' }>): void {
    const link = this.linkOf(from, id)
    if (link === undefined) return
    const isEarlier = this.isEarlier(from) || this.isEarlier(link.to)
    if (isEarlier && word.kind === 'confirm') this.unreadable++
    const message = isEarlier && word.kind === 'follow' ? { ...word, isConfirming: undefined } : word
    this.later(from, link.to, () => link.to.step({ kind: 'spoke', link: link.number, message }), this.carriedMs(from, word))
  }

  tell (to: ModelHost, number: number, word: Extract<SyncMessage, { kind: 'rows' | 'beat' | 'welcome' }>): void {
    const link = this.links.get(number)
    if (link === undefined) return
    const isEarlier = this.isEarlier(to) || this.isEarlier(link.from)
    const message = isEarlier && word.kind === 'rows' ? { ...word, isToConfirm: undefined } : word
    this.later(to, link.from, () => {
      if (this.links.has(number)) link.from.step({ kind: 'told', link: link.id, message })
    }, this.carriedMs(to, word))
  }

  private isEarlier (host: ModelHost): boolean {
    return this.options.earlier?.has(this.hosts.indexOf(host)) === true
  }

  private count (word: SyncMessage): number {
    this.said.words++
    this.sizes.set(word, this.sizes.get(word) ?? JSON.stringify(word).length)
    const size = this.sizes.get(word)!
    this.said.characters += size
    return size
  }

  /** Milliseconds until the host's link has carried the word, behind those that it was given before. */
  private carriedMs (from: ModelHost, word: SyncMessage): number {
    const size = this.count(word)
    const { linkBytesPerMs } = this.options
    if (linkBytesPerMs === undefined) return 0
    const startsAt = Math.max(this.now, this.freeAt.get(from) ?? 0)
    const endsAt = startsAt + size * (size < COMPRESSED_FROM_CHARACTERS ? 1 : COMPRESSED_SHARE) / linkBytesPerMs
    this.freeAt.set(from, endsAt)
    this.longestQueueMs = Math.max(this.longestQueueMs, startsAt - this.now)
    return endsAt - this.now
  }

  private linkOf (from: ModelHost, id: LinkId): Link | undefined {
    return this.opened.get(from)?.get(id)
  }

  private forget (link: Link): void {
    this.links.delete(link.number)
    if (this.linkOf(link.from, link.id) === link) this.opened.get(link.from)?.delete(link.id)
  }

  private later (from: ModelHost, to: ModelHost, run: () => void, carriedMs = 0): void {
    if (this.cuts.has(`${from.id}>${to.id}`)) return
    const isNear = from.options.self.dataCentre === to.options.self.dataCentre
    this.agenda.add(carriedMs + (isNear ? NEAR_MS : FAR_MS), run)
  }
}
