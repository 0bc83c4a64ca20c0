/**
 * The gossip of configurations among hosts: a new version is pushed to a few
 * partners at once, and a digest is sent to one of them from time to time, which
 * repairs what the push missed. A host requests a version from one host at a
 * time, so that it isn't sent a large document by several partners.
 */

import type { HostId } from '../id/host.ts'
import type { Instant } from '../id/instant.ts'
import type { ConfigVersion } from '../id/version.ts'
import type { GossipAction } from './action.ts'
import type { GossipEvent } from './event.ts'

interface Fields {
  readonly version: ConfigVersion
  readonly partners: readonly HostId[]
  /** The version that was requested, and until when its body is awaited. */
  readonly pendingRequest: { readonly version: ConfigVersion, readonly until: Instant } | undefined
}

interface Step {
  readonly gossip: Gossip
  readonly actions: readonly GossipAction[]
}

/** How long a body may take before it's requested from another host. */
const REQUEST_TIMEOUT_MS = 1000

/** The state of one host. Immutable; `step` applies an event and returns the next state. */
export class Gossip {
  private constructor (private readonly fields: Fields) {}

  static create (): Gossip {
    return new Gossip({ version: 0 as ConfigVersion, partners: [], pendingRequest: undefined })
  }

  /** `chance` is a number in [0, 1) from the process's seeded generator. */
  step (event: GossipEvent, now: Instant, chance: number): Step {
    switch (event.kind) {
      case 'members': return this.with({ partners: event.partners }).withActions()
      case 'linked': return this.withActions({ kind: 'digest', to: event.host })
      case 'held': return this.held(event)
      case 'digest': return this.digest(event.from, event.version, now)
      case 'missed': return this.withActions({ kind: 'digest', to: event.from })
      case 'tick': return this.tick(chance)
    }
  }

  /** A change is small and is pushed at once; a whole document is only sent on request. */
  private held ({ version, from, hasChange }: Extract<GossipEvent, { kind: 'held' }>): Step {
    if (version <= this.fields.version) return this.withActions()
    const base = version - 1 as ConfigVersion
    const others = this.fields.partners.filter(host => host !== from)
    return this.with({ version, pendingRequest: undefined }).withActions(...others.map((to): GossipAction =>
      hasChange ? { kind: 'body', to, base } : { kind: 'digest', to }))
  }

  private digest (from: HostId, version: ConfigVersion, now: Instant): Step {
    if (version < this.fields.version) return this.withActions({ kind: 'body', to: from, base: version })
    if (version === this.fields.version) return this.withActions()
    const { pendingRequest } = this.fields
    if (pendingRequest !== undefined && pendingRequest.version >= version && now < pendingRequest.until) return this.withActions()
    const until = now + REQUEST_TIMEOUT_MS as Instant
    return this.with({ pendingRequest: { version, until } }).withActions({ kind: 'digest', to: from })
  }

  private tick (chance: number): Step {
    const { partners } = this.fields
    const to = partners[Math.floor(chance * partners.length)]
    return to === undefined ? this.withActions() : this.withActions({ kind: 'digest', to })
  }

  private with (change: Partial<Fields>): Gossip {
    return new Gossip({ ...this.fields, ...change })
  }

  private withActions (...actions: readonly GossipAction[]): Step {
    return { gossip: this, actions }
  }
}
