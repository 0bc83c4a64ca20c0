/**
 * The spread of configurations among hosts: push to a few partners at once, and
 * a digest to one of them now and then, which mends whatever the push missed.
 * A host asks for a version at one place at a time, so that a large document
 * isn't sent to it by all its partners together.
 */

import type { HostId } from '../id/host.ts'
import type { Instant } from '../id/instant.ts'
import type { ConfigVersion } from '../id/version.ts'
import type { GossipAction } from './action.ts'
import type { GossipEvent } from './event.ts'

interface Fields {
  readonly version: ConfigVersion
  readonly partners: readonly HostId[]
  /** Until when a body that was asked for is waited for, and its version. */
  readonly pendingRequest: { readonly version: ConfigVersion, readonly until: Instant } | undefined
}

interface Step {
  readonly gossip: Gossip
  readonly actions: readonly GossipAction[]
}

/** How long a body may take before it's asked for elsewhere. */
const REQUEST_TIMEOUT_MS = 1000

/** The state of one host. Immutable; `step` takes an event in and yields the next state. */
export class Gossip {
  private constructor (private readonly fields: Fields) {}

  static create (): Gossip {
    return new Gossip({ version: 0 as ConfigVersion, partners: [], pendingRequest: undefined })
  }

  /** `chance` is a number in [0, 1) from the process's one seeded generator. */
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

  /** A change is small and goes out at once; a whole document goes only to those who ask for it. */
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
    const { pendingRequest: asked } = this.fields
    if (asked !== undefined && asked.version >= version && now < asked.until) return this.withActions()
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
