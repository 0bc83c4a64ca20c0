/** Keeps the newest configuration in force in this process: polls the store and exchanges versions with peers. */

import { create } from '@bufbuild/protobuf'
import { ConfigBodySchema, ConfigDigestSchema, type ConfigBody, type Frame } from '../../gen/peer_pb.ts'
import type { ConfigCandidate } from '../../core/config/configcandidate.ts'
import type { Config } from '../../core/config/config.ts'
import { ConfigHolder } from '../../core/config/configholder.ts'
import { pollDelayMs } from '../../core/config/polldelay.ts'
import { ConfigStartup } from '../../core/config/configstartup.ts'
import type { GossipAction } from '../../core/gossip/action.ts'
import type { GossipEvent } from '../../core/gossip/event.ts'
import { Gossip } from '../../core/gossip/gossip.ts'
import { Roles } from '../../core/gossip/roles.ts'
import type { HostId } from '../../core/id/host.ts'
import type { Instant } from '../../core/id/instant.ts'
import type { ConfigVersion } from '../../core/id/version.ts'
import type { Json } from '../../core/json.ts'
import type { Log } from '../log/log.ts'
import type { HostList } from '../platform/hostlist.ts'
import type { ConfigStore } from './store.ts'

type Host = Awaited<ReturnType<HostList['hosts']>>[number]
type Reply = (body: Frame['body']) => void

interface Options {
  readonly self: HostId
  readonly store: ConfigStore
  readonly log: Log
  readonly now: () => Instant
  readonly chance: () => number
  /** Sends a frame to a host; does nothing without a link to it. */
  readonly send: (host: HostId, body: Frame['body']) => void
  readonly onApply: (config: Config) => void
}

const TICK_INTERVAL_MS = 500
/** Base of a candidate that holds the whole document. */
const NO_BASE = 0 as ConfigVersion

/** Drives the configuration holder and the gossip of the core with timers, store reads and frames from peers. */
export class ConfigFollower {
  private holder = ConfigHolder.empty
  private gossip = Gossip.create()
  private startup: ConfigStartup
  private roles: Roles
  private misses = 0
  /** Highest version offered by peers during startup, until it is known whether another peer has a higher one. */
  private earlyOffer: { readonly candidate: ConfigCandidate, readonly from: HostId } | undefined
  private storeProblem = ''

  private constructor (private readonly options: Options) {
    this.startup = ConfigStartup.begin(options.now())
    this.roles = Roles.of(options.self, [])
  }

  static start (options: Options, signal: AbortSignal): ConfigFollower {
    const follower = new ConfigFollower(options)
    follower.poll(signal)
    const timer = setInterval(() => follower.tick(), TICK_INTERVAL_MS)
    signal.addEventListener('abort', () => clearInterval(timer), { once: true })
    return follower
  }

  get config (): Config | undefined {
    return this.holder.config
  }

  /** Why no configuration is in force; undefined if one is. */
  get problem (): string | undefined {
    return this.holder.config === undefined ? this.startup.reason : undefined
  }

  /** Work that waits for the store to respond, for the status report. */
  get waiting (): readonly string[] {
    return this.storeProblem === '' ? [] : [`the next poll for a newer configuration: ${this.storeProblem}`]
  }

  /** The hosts to which this one sends new versions; it needs links to them. */
  get partners (): readonly HostId[] {
    return this.roles.partners
  }

  /** Uses the current host list to choose gossip partners and the hosts that poll the store. */
  setHosts (hosts: readonly Host[]): void {
    this.roles = Roles.of(this.options.self, hosts)
    this.startup = this.startup.withPeers(hosts.filter(host => host.id !== this.options.self).map(host => host.id))
    this.step({ kind: 'members', partners: this.roles.partners })
  }

  /** Call when a link to the host is open. */
  onLinked (host: HostId): void {
    this.step({ kind: 'linked', host })
  }

  /** Handles a gossip frame from a host; `reply` answers on the same link. */
  receive (from: HostId, body: Frame['body'], reply: Reply): void {
    if (body.case === 'configDigest') {
      const version = body.value.version as ConfigVersion
      this.startup = this.startup.answered(from, version)
      this.step({ kind: 'digest', from, version }, reply)
      this.applyEarlyOffer()
    }
    if (body.case === 'configBody') this.receiveBody(from, body.value, reply)
  }

  private receiveBody (from: HostId, { version, base, json }: ConfigBody, reply: Reply): void {
    const body = parseJson(json)
    if (body === undefined) return
    const candidate = { version: version as ConfigVersion, base: base as ConfigVersion, body }
    if (this.holder.config !== undefined) return this.offer(candidate, from, reply)
    if (base === NO_BASE && version > (this.earlyOffer?.candidate.version ?? NO_BASE)) this.earlyOffer = { candidate, from }
    this.startup = this.startup.answered(from, candidate.version)
    this.applyEarlyOffer()
  }

  private applyEarlyOffer (): void {
    const { earlyOffer } = this
    if (earlyOffer === undefined || !this.startup.canTake(earlyOffer.candidate.version, this.options.now())) return
    this.earlyOffer = undefined
    this.offer(earlyOffer.candidate, earlyOffer.from)
  }

  private offer (candidate: ConfigCandidate, from: HostId | undefined, reply?: Reply): void {
    const offered = this.holder.offer(candidate)
    if (offered.isOk()) return this.apply(offered.value, from)
    const { error } = offered
    if (error.kind === 'gap' && from !== undefined) this.step({ kind: 'missed', from }, reply)
    if (error.kind === 'invalid') this.options.log.write('configUnreadable', { version: candidate.version, problem: error.problem })
  }

  private apply (holder: ConfigHolder, from: HostId | undefined): void {
    this.holder = holder
    this.options.onApply(holder.config!)
    this.options.log.write('configApplied', { version: holder.version, from: from ?? 'store' })
    this.step({ kind: 'held', version: holder.version, from, hasChange: holder.hasChange })
  }

  private tick (): void {
    this.applyEarlyOffer()
    this.step({ kind: 'tick' })
  }

  private step (event: GossipEvent, reply?: Reply): void {
    const { gossip, actions } = this.gossip.step(event, this.options.now(), this.options.chance())
    this.gossip = gossip
    for (const action of actions) this.run(action, reply)
  }

  private run (action: GossipAction, reply: Reply | undefined): void {
    const body = action.kind === 'digest' ? digestFrame(this.holder.version) : bodyFrame(this.holder.candidateFor(action.base))
    if (body === undefined) return
    if (reply === undefined) this.options.send(action.to, body)
    else reply(body)
  }

  private async poll (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.ask().catch((err: Error) => this.onStoreFailure(err))
      const { misses, roles: { isPoller } } = this
      const ms = pollDelayMs({ isPoller, hasConfig: this.config !== undefined, misses }, this.options.chance())
      await new Promise(resolve => { setTimeout(resolve, ms) })
    }
  }

  private async ask (): Promise<void> {
    const { store } = this.options
    const newest = await store.newest()
    if (newest !== undefined && newest.version > this.holder.version) {
      const body = parseJson(await store.document(newest))
      if (body !== undefined) this.offer({ version: newest.version, base: NO_BASE, body }, undefined)
    }
    this.misses = newest === undefined ? this.misses + 1 : 0
    this.storeProblem = ''
    this.startup = this.startup.withStoreRead()
    this.applyEarlyOffer()
  }

  private onStoreFailure (err: Error): void {
    this.misses++
    this.storeProblem = err.message
    this.startup = this.startup.withStoreFailure(err.message)
    this.options.log.write('storeFailed', { err: err.message })
  }
}

function digestFrame (version: ConfigVersion): Frame['body'] {
  return { case: 'configDigest', value: create(ConfigDigestSchema, { version }) }
}

function bodyFrame (candidate: ConfigCandidate | undefined): Frame['body'] | undefined {
  if (candidate === undefined) return undefined
  const { version, base, body } = candidate
  return { case: 'configBody', value: create(ConfigBodySchema, { version, base, json: JSON.stringify(body) }) }
}

function parseJson (json: string): Json | undefined {
  try {
    return JSON.parse(json) as Json
  } catch {
    return undefined
  }
}
