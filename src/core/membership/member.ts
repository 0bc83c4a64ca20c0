/** One host as this process knows it, from the host list and from messages of its process. */

import type { EndpointId } from '../id/endpoint.ts'
import type { Instant } from '../id/instant.ts'
import type { Host } from './host.ts'
import type { MembershipTimings } from './timings.ts'

type State = 'live' | 'suspect' | 'leaving' | 'gone'

interface Process {
  readonly incarnation: string
  readonly at: Instant
  /** Undefined until the process has reported it. */
  readonly heldEndpoints: readonly EndpointId[] | undefined
  readonly isLeaving: boolean
  readonly isLinked: boolean
}

interface Fields {
  /** The host's last entry in the list. */
  readonly host: Host
  readonly isListed: boolean
  readonly watchedSince: Instant | undefined
  readonly process: Process | undefined
}

/** Immutable; every change returns the next value. */
export class Member {
  private constructor (private readonly fields: Fields) {}

  static of (host: Host): Member {
    return new Member({ host, isListed: true, watchedSince: undefined, process: undefined })
  }

  get host (): Host {
    return this.fields.host
  }

  get isWatched (): boolean {
    return this.fields.watchedSince !== undefined
  }

  get isLinked (): boolean {
    return this.fields.process?.isLinked === true
  }

  /** The incarnation that sent the last message; undefined before the first. */
  get incarnation (): string | undefined {
    return this.fields.process?.incarnation
  }

  /** The endpoints of which the process reported a slot; undefined until it has, as after its restart. */
  get heldEndpoints (): readonly EndpointId[] | undefined {
    return this.fields.process?.heldEndpoints
  }

  state (now: Instant, timings: MembershipTimings): State {
    const { host, isListed, process } = this.fields
    if (process?.isLeaving === true && !process.isLinked) return 'gone'
    const silent = this.silenceMs(now)
    if (silent >= timings.goneMs) return 'gone'
    if (process?.isLeaving === true) return 'leaving'
    if (silent >= timings.suspectMs) return 'suspect'
    // The list may lose a working host for a moment; a host with a live link is there, whatever the list says.
    if (!isListed && !this.isLinked) return 'gone'
    return isListed ? host.state : 'live'
  }

  listed (host: Host): Member {
    return this.with({ host, isListed: true })
  }

  unlisted (): Member {
    return this.with({ isListed: false })
  }

  watched (now: Instant): Member {
    return this.isWatched ? this : this.with({ watchedSince: now })
  }

  /** Without a link no more messages arrive, so what they reported is dropped before it gets outdated. */
  unwatched (): Member {
    return this.with({ watchedSince: undefined, process: undefined })
  }

  /** A new incarnation is another process, so what the old one reported is dropped. */
  heard (incarnation: string, now: Instant): Member {
    const { process } = this.fields
    const isSame = process?.incarnation === incarnation
    const next = isSame ? process : { incarnation, heldEndpoints: undefined, isLeaving: false }
    return this.with({ process: { ...next, at: now, isLinked: true } })
  }

  held (heldEndpoints: readonly EndpointId[], isLeaving: boolean): Member {
    const { process } = this.fields
    return process === undefined ? this : this.with({ process: { ...process, heldEndpoints, isLeaving } })
  }

  lost (): Member {
    const { process } = this.fields
    return process === undefined ? this : this.with({ process: { ...process, isLinked: false } })
  }

  private silenceMs (now: Instant): number {
    const { watchedSince, process } = this.fields
    if (watchedSince === undefined) return 0
    return now - Math.max(watchedSince, process?.at ?? watchedSince)
  }

  private with (change: Partial<Fields>): Member {
    return new Member({ ...this.fields, ...change })
  }
}
