/** The other processes of the service: links to those that are needed, and their state. */

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
  /** Called when a peer's state changes in a way that may move a slot. */
  readonly onChange: () => void
}

interface LinkEntry {
  readonly address: string
  readonly link: PeerLink
  readonly stop: AbortController
  /** When the link was last required. */
  wantedAt: Instant
}

/** How long a link that isn't required stays open, so that requests on it can end. */
const UNUSED_LINK_TIMEOUT_MS = 60_000

/** Keeps the links to peers and updates `Members` with the host list and with what the links report. */
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
      const entry = this.links.get(host.id)
      if (entry !== undefined && entry.address !== host.peers) this.unlink(host.id)
    }
  }

  leave (): void {
    this.apply({ kind: 'leaving' })
  }

  /** Opens links to these hosts. A link that is no longer required closes after UNUSED_LINK_TIMEOUT_MS. */
  setRequiredHosts (required: ReadonlySet<HostId>): void {
    const now = this.options.now()
    for (const [id, entry] of [...this.links]) {
      if (required.has(id)) entry.wantedAt = now
      else if (now - entry.wantedAt >= UNUSED_LINK_TIMEOUT_MS) this.unlink(id)
    }
    for (const host of this.known.hosts) {
      if (required.has(host.id) && !this.links.has(host.id)) this.link(host)
    }
  }

  /** Sends a frame to a host if there is a link to it. */
  send (host: HostId, body: Frame['body']): void {
    this.links.get(host)?.link.sendIfLinked(body)
  }

  /** Closes all links. */
  close (): void {
    for (const id of [...this.links.keys()]) this.unlink(id)
  }

  /** The open links to hosts that hold a slot of the endpoint. Hosts that are leaving come last; they still finish their work. */
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
