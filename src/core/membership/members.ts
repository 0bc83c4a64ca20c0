/**
 * The hosts of the system as this process sees them.
 *
 * The platform's list lags: it shows hosts that failed and misses new ones. So
 * it only says which hosts may be there; whether one is there is decided by the
 * messages on the links that this process keeps. A host without a link is taken
 * from the list as it is.
 */

import type { EndpointId } from '../id/endpoint.ts'
import type { HostId } from '../id/host.ts'
import type { Instant } from '../id/instant.ts'
import type { MembershipEvent } from './event.ts'
import type { Host } from './host.ts'
import { Member } from './member.ts'
import type { MembershipTimings } from './timings.ts'

/**
 * A table of members. Mutable, since every message on any link changes it. Time
 * alone changes only the result of `state`.
 */
export class Members {
  private readonly members = new Map<HostId, Member>()
  private readonly holdersByEndpoint = new Map<EndpointId, Set<HostId>>()
  private leaving = false

  private constructor (private readonly self: HostId, private readonly timings: MembershipTimings) {}

  static create (self: HostId, timings: MembershipTimings): Members {
    return new Members(self, timings)
  }

  get isLeaving (): boolean {
    return this.leaving
  }

  get hosts (): readonly Host[] {
    return [...this.members.values()].map(member => member.host)
  }

  apply (event: MembershipEvent, now: Instant): void {
    switch (event.kind) {
      case 'listed': return this.listed(event.hosts)
      case 'watched': return this.change(event.host, member => member.watched(now))
      case 'unwatched': return this.change(event.host, member => member.unwatched())
      case 'heard': return this.change(event.host, member => member.heard(event.incarnation, now))
      case 'held': return this.change(event.host, member => member.held(event.endpoints, event.isLeaving))
      case 'lost': return this.change(event.host, member => member.lost())
      case 'leaving': this.leaving = true
    }
  }

  /** A host that was never listed is `gone`: no slot can be placed on it, since its data centre isn't known. */
  state (id: HostId, now: Instant): ReturnType<Member['state']> {
    const member = this.members.get(id)
    if (member === undefined) return 'gone'
    if (id !== this.self) return member.state(now, this.timings)
    return this.isLeaving ? 'leaving' : member.host.state
  }

  /** Hosts that slots are placed on. A suspected host stays one, so that a short silence moves nothing. */
  candidates (now: Instant): readonly Host[] {
    return this.hosts.filter(({ id }) => ['live', 'suspect'].includes(this.state(id, now)))
  }

  isLinked (id: HostId): boolean {
    return id === this.self || this.members.get(id)?.isLinked === true
  }

  /** Other hosts that reported a slot of the endpoint, without those that are gone. */
  holders (endpoint: EndpointId, now: Instant): readonly HostId[] {
    return [...this.holdersByEndpoint.get(endpoint) ?? []].filter(id => this.state(id, now) !== 'gone')
  }

  /** Whether the host is there but hasn't reported its slots yet. */
  hasUnreportedSlots (id: HostId, now: Instant): boolean {
    return id !== this.self && this.state(id, now) !== 'gone' && this.members.get(id)!.heldEndpoints === undefined
  }

  /** Whether the process of a claim is still there; `unknown` when its host isn't in the list. */
  claimStatus (id: HostId, incarnation: string, now: Instant): 'held' | 'gone' | 'unknown' {
    const member = this.members.get(id)
    if (member === undefined) return 'unknown'
    const isOther = member.incarnation !== undefined && member.incarnation !== incarnation
    return isOther || this.state(id, now) === 'gone' ? 'gone' : 'held'
  }

  private listed (hosts: readonly Host[]): void {
    const ids = new Set(hosts.map(host => host.id))
    for (const [id, member] of this.members) {
      if (ids.has(id)) continue
      if (member.isWatched || id === this.self) this.members.set(id, member.unlisted())
      else this.members.delete(id)
    }
    for (const host of hosts) {
      this.members.set(host.id, this.members.get(host.id)?.listed(host) ?? Member.of(host))
    }
  }

  private change (id: HostId, next: (member: Member) => Member): void {
    const old = this.members.get(id)
    if (old === undefined) return
    const member = next(old)
    this.members.set(id, member)
    if (member.heldEndpoints === old.heldEndpoints) return
    for (const endpoint of old.heldEndpoints ?? []) this.holdersByEndpoint.get(endpoint)?.delete(id)
    for (const endpoint of member.heldEndpoints ?? []) {
      this.holdersByEndpoint.set(endpoint, (this.holdersByEndpoint.get(endpoint) ?? new Set()).add(id))
    }
  }
}
