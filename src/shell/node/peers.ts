/** The other processes: the links to those that are used, and what they say of themselves. */

import type { Frame, Sample as SampleFrame, Wrote } from '../../gen/peer_pb.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { HostId } from '../../core/id/host.ts'
import type { Instant } from '../../core/id/instant.ts'
import type { MembershipEvent } from '../../core/membership/event.ts'
import type { Host } from '../../core/membership/host.ts'
import { Members } from '../../core/membership/members.ts'
import type { parseSettings } from '../../core/settings/settings.ts'
import type { Log } from '../log/log.ts'
import { PeerLink } from '../peer/link.ts'
import type { TlsKeys } from '../peer/tlskeys.ts'

type Settings = ReturnType<ReturnType<typeof parseSettings>['_unsafeUnwrap']>

interface Options {
  readonly settings: Settings
  readonly keys: TlsKeys | undefined
  readonly incarnation: string
  readonly log: Log
  readonly now: () => Instant
  readonly onSample: (frame: SampleFrame) => void
  readonly onWrote: (frame: Wrote) => void
  readonly onLinked: (host: HostId) => void
  readonly onConfig: (from: HostId, body: Frame['body']) => void
  /** Something was heard that may move a slot. */
  readonly onChange: () => void
}

interface LinkEntry {
  readonly address: string
  readonly link: PeerLink
  readonly stop: AbortController
  /** When it was last wanted. */
  wantedAt: Instant
}

const UNUSED_LINK_TIMEOUT_MS = 60_000

/** Feeds `Members` with what the list and the links say. */
export class Peers {
  private readonly links = new Map<HostId, LinkEntry>()
  private readonly known: Members

  private constructor (private readonly options: Options) {
    const { host, peers } = options.settings
    this.known = Members.create(host.id as HostId, { suspectMs: peers.silent, goneMs: peers.gone })
  }

  static create (options: Options): Peers {
    return new Peers(options)
  }

  get members (): Members {
    return this.known
  }

  useHosts (hosts: readonly Host[]): void {
    this.apply({ kind: 'listed', hosts })
    for (const host of hosts) {
      const linked = this.links.get(host.id)
      if (linked !== undefined && linked.address !== host.peers) this.unlink(host.id)
    }
  }

  leave (): void {
    this.apply({ kind: 'leaving' })
  }

  /** Links to these hosts. A link that isn't wanted any more is closed after a while, so that what runs on it ends first. */
  setRequiredHosts (wanted: ReadonlySet<HostId>): void {
    const now = this.options.now()
    for (const [id, linked] of [...this.links]) {
      if (wanted.has(id)) linked.wantedAt = now
      else if (now - linked.wantedAt >= UNUSED_LINK_TIMEOUT_MS) this.unlink(id)
    }
    for (const host of this.known.hosts) {
      if (wanted.has(host.id) && !this.links.has(host.id)) this.link(host)
    }
  }

  /** Sends a frame to a host if it's linked. */
  send (host: HostId, body: Frame['body']): void {
    this.links.get(host)?.link.sendIfLinked(body)
  }

  /** Closes all links. */
  close (): void {
    for (const id of [...this.links.keys()]) this.unlink(id)
  }

  /** The links to live hosts that say they hold a slot of the endpoint; then those to leaving ones, which still finish work. */
  linksTo (endpoint: EndpointId): readonly PeerLink[] {
    const now = this.options.now()
    const holders = this.known.holders(endpoint, now)
    const [leaving, staying] = [
      holders.filter(id => this.known.state(id, now) === 'leaving'),
      holders.filter(id => this.known.state(id, now) !== 'leaving')
    ]
    return [...staying, ...leaving]
      .map(id => this.links.get(id)?.link)
      .filter(link => link?.isLinked === true) as PeerLink[]
  }

  private link (host: Host): void {
    const { settings, keys, incarnation, log } = this.options
    if (host.id === settings.host.id) return
    const stop = new AbortController()
    this.apply({ kind: 'watched', host: host.id })
    const link = PeerLink.open({
      address: host.peers,
      self: settings.host.id as HostId,
      peer: host.id,
      keys,
      incarnation,
      heartbeatIntervalMs: settings.peers.beat,
      silenceTimeoutMs: settings.peers.silent,
      retryIntervalMs: settings.peers.retry,
      log,
      onSample: this.options.onSample,
      onWrote: this.options.onWrote,
      onLinked: () => this.options.onLinked(host.id),
      onConfig: body => this.options.onConfig(host.id, body),
      onActivity: heard => this.apply({ kind: 'heard', host: host.id, incarnation: heard }),
      onHeld: ({ endpoints, leaving }) => {
        this.apply({ kind: 'held', host: host.id, endpoints: endpoints as EndpointId[], isLeaving: leaving })
        this.options.onChange()
      },
      onLost: () => {
        if (stop.signal.aborted) return
        this.apply({ kind: 'lost', host: host.id })
        this.options.onChange()
      }
    }, stop.signal)
    this.links.set(host.id, { address: host.peers, link, stop, wantedAt: this.options.now() })
  }

  private unlink (id: HostId): void {
    this.links.get(id)?.stop.abort()
    this.links.delete(id)
    this.apply({ kind: 'unwatched', host: id })
  }

  private apply (event: MembershipEvent): void {
    this.known.apply(event, this.options.now())
  }
}
