/** Many members of the configuration's gossip in one process, on a virtual clock: the core as it is, no sockets. */

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { ConfigCandidate } from '../src/core/config/configcandidate.ts'
import { ConfigHolder } from '../src/core/config/configholder.ts'
import { pollDelayMs } from '../src/core/config/polldelay.ts'
import type { GossipEvent } from '../src/core/gossip/event.ts'
import { Gossip } from '../src/core/gossip/gossip.ts'
import { Roles } from '../src/core/gossip/roles.ts'
import type { DataCentreId } from '../src/core/id/datacentre.ts'
import type { HostId } from '../src/core/id/host.ts'
import type { Instant } from '../src/core/id/instant.ts'
import type { ConfigVersion } from '../src/core/id/version.ts'
import { VirtualClock } from './clock.ts'

interface Options {
  readonly members: number
  readonly seed: number
  /** What a whole document and a change count for, in bytes. */
  readonly wholeBytes: number
  readonly changeBytes: number
}

interface Member {
  readonly id: HostId
  readonly dataCentre: number
  readonly region: number
  readonly roles: Roles
  gossip: Gossip
  holder: ConfigHolder
  misses: number
  isUp: boolean
  sentBytes: number
}

const DATA_CENTRES = 8
const REGIONS = 3
const TICK_MS = 500
/** One way: within a data centre, within a region, between regions. */
const NEAR_MS = 0.5
const REGION_MS = 1.5
const FAR_MS = 60
const STORE_MS = 20
/** 100 Mbit/s for one stream. */
const BYTES_PER_MS = 12_500
/** A frame's own fields and its share of HTTP/2 framing. */
const FRAME_BYTES = 40
const UINT32 = 0x100000000
const NONE = 0 as ConfigVersion

/** Counts and virtual times only; the same on every run with one seed. */
export class Members {
  readonly clock = VirtualClock.create()
  readonly all: readonly Member[]
  storeReads = 0
  digests = 0
  changes = 0
  wholes = 0
  private readonly byId: ReadonlyMap<HostId, Member>
  private readonly generator: ReturnType<typeof xoroshiro128plus>
  private newest = 0
  private reached = 0
  private cutRegion = -1
  private isStoreCut = false

  private constructor (private readonly options: Options) {
    this.generator = xoroshiro128plus(options.seed)
    const hosts = Array.from({ length: options.members }, (_, i) => ({
      id: `host-${i}` as HostId, dataCentre: `dc-${i % DATA_CENTRES}` as DataCentreId
    }))
    this.all = hosts.map((host, i) => ({
      id: host.id,
      dataCentre: i % DATA_CENTRES,
      region: i % DATA_CENTRES % REGIONS,
      roles: Roles.of(host.id, hosts),
      gossip: Gossip.create(),
      holder: ConfigHolder.empty,
      misses: 0,
      isUp: true,
      sentBytes: 0
    }))
    this.byId = new Map(this.all.map(member => [member.id, member]))
  }

  static start (options: Options): Members {
    const it = new Members(options)
    for (const member of it.all) {
      it.step(member, { kind: 'members', partners: member.roles.partners })
      it.clock.after(it.chance() * TICK_MS, () => it.tick(member))
      it.clock.after(it.chance() * TICK_MS, () => it.poll(member))
    }
    return it
  }

  /** Puts the next version in the store. */
  accept (): void {
    this.newest++
    this.reached = 0
  }

  /** Milliseconds until every member that is up has the newest version; undefined when the time is up before. */
  spread (mostMs: number): number | undefined {
    const began = this.clock.now
    const isEverywhere = (): boolean => this.reached >= this.up
    return this.clock.run(mostMs, isEverywhere) ? this.clock.now - began : undefined
  }

  /** Cuts a region off from the others, and from the store if asked; -1 heals. */
  cut (region: number, isStoreCut: boolean): void {
    this.cutRegion = region
    this.isStoreCut = isStoreCut
  }

  /** A data centre is lost, and nobody is told. */
  lose (dataCentre: number): void {
    for (const member of this.all) {
      if (member.dataCentre === dataCentre) member.isUp = false
    }
  }

  versionsBehind (): number {
    return this.all.filter(member => member.isUp && member.holder.version < this.newest).length
  }

  private get up (): number {
    return this.all.reduce((sum, member) => sum + Number(member.isUp), 0)
  }

  private tick (member: Member): void {
    if (!member.isUp) return
    this.step(member, { kind: 'tick' })
    this.clock.after(TICK_MS, () => this.tick(member))
  }

  private poll (member: Member): void {
    if (!member.isUp) return
    if (!(this.isStoreCut && member.region === this.cutRegion)) {
      this.storeReads++
      this.clock.after(STORE_MS, () => this.offer(member, documentOf(this.newest as ConfigVersion), undefined))
      member.misses = 0
    } else {
      member.misses++
    }
    const hasConfig = member.holder.version > NONE
    const ms = pollDelayMs({ isPoller: member.roles.isPoller, hasConfig, misses: member.misses }, this.chance())
    this.clock.after(ms, () => this.poll(member))
  }

  private offer (member: Member, candidate: ConfigCandidate, from: HostId | undefined): void {
    const offered = member.holder.offer(candidate)
    if (offered.isErr()) {
      if (offered.error.kind === 'gap') this.step(member, { kind: 'missed', from: from! })
      return
    }
    member.holder = offered.value
    const { version, hasChange } = member.holder
    if (version === this.newest) this.reached++
    this.step(member, { kind: 'held', version, from, hasChange })
  }

  private step (member: Member, event: GossipEvent): void {
    const { gossip, actions } = member.gossip.step(event, this.clock.now as Instant, this.chance())
    member.gossip = gossip
    for (const action of actions) {
      const to = this.byId.get(action.to)!
      if (action.kind === 'digest') this.sendDigest(member, to)
      else this.sendBody(member, to, action.base)
    }
  }

  private sendDigest (from: Member, to: Member): void {
    const { version } = from.holder
    this.digests++
    this.send(from, to, FRAME_BYTES, () => this.step(to, { kind: 'digest', from: from.id, version }))
  }

  private sendBody (from: Member, to: Member, base: ConfigVersion): void {
    const candidate = from.holder.candidateFor(base)
    if (candidate === undefined) return
    const isWhole = candidate.base === NONE
    if (isWhole) this.wholes++
    else this.changes++
    const bytes = FRAME_BYTES + (isWhole ? this.options.wholeBytes : this.options.changeBytes)
    this.send(from, to, bytes, () => this.offer(to, candidate, from.id))
  }

  private send (from: Member, to: Member, bytes: number, deliver: () => void): void {
    from.sentBytes += bytes
    const isCut = from.region !== to.region && (from.region === this.cutRegion || to.region === this.cutRegion)
    if (isCut || !to.isUp) return
    const ms = from.dataCentre === to.dataCentre ? NEAR_MS : from.region === to.region ? REGION_MS : FAR_MS
    this.clock.after(ms + bytes / BYTES_PER_MS, deliver)
  }

  private chance (): number {
    return (this.generator.next() >>> 0) / UINT32
  }
}

/** A document that differs from version to version; its size is counted, not carried. */
function documentOf (version: ConfigVersion): ConfigCandidate {
  return {
    version,
    base: NONE,
    body: {
      groups: [{ id: 'shop', database: 'shop', endpoints: [{ id: 'shop-1', address: '10.0.0.1:1', dataCentre: 'dc-1' }], connectionsPerSlot: 4 + version % 2 }],
      pools: []
    }
  }
}
