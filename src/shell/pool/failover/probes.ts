/** Probes the endpoints of a group, each on a new connection. */

import { setTimeout as pause } from 'node:timers/promises'
import type { EndpointId } from '../../../core/id/endpoint.ts'
import type { Instant } from '../../../core/id/instant.ts'
import type { Command } from '../../../core/statement/command.ts'
import type { EndpointStatus } from '../../../core/statement/endpointstatus.ts'
import { clock } from '../clock.ts'
import { isEndpointFull } from '../connections/isendpointfull.ts'
import type { Dialer } from '../connections/dialer.ts'
import type { DialFault } from '../connections/dialfault.ts'
import type { PoolGroup } from '../group.ts'

/** Limit for opening the connection, and for the answer. */
const PROBE_TIMEOUT_MS = 300
/** The same for an endpoint whose answer a promotion depends on: longer than the queue of a slow endpoint, and short enough for an order within the lease. */
const REQUIRED_PROBE_TIMEOUT_MS = 750
/** Pause before an endpoint without room is asked again. */
const FULL_RETRY_MS = 50
/** An endpoint counts the connections of dead hosts for about three seconds. One that closes connections for longer without any answer is unreachable. */
const MAX_FULL_MS = 4000

export class Probes {
  private constructor (private readonly group: PoolGroup, private readonly dialer: Dialer) {}

  static create (group: PoolGroup, dialer: Dialer): Probes {
    return new Probes(group, dialer)
  }

  /** Whether the endpoint proves on a new connection that it's the primary. Connections in use may be dead while new ones work. */
  async proveLeader (id: EndpointId): Promise<boolean> {
    const { group, dialer } = this
    const endpoint = group.lastKnown(id)
    const sentAt = clock.now()
    const dialled = endpoint === undefined ? undefined : await dialer.dial(endpoint, undefined, PROBE_TIMEOUT_MS)
    if (dialled === undefined || dialled.isErr()) {
      return this.handleDialFault(id, dialled?.isErr() === true ? dialled.error : 'unreachable', sentAt)
    }
    const openedAt = clock.now()
    const { answers, lost } = await dialled.value.ask([{ kind: 'begin', isReadOnly: false }], PROBE_TIMEOUT_MS)
    dialled.value.close()
    const [answer] = answers
    if (answer === undefined) {
      if (lost === 'outOfTime') group.recordOutOfTime(id, openedAt)
      else group.recordNoAnswer(id)
      return false
    }
    group.answered(id, answer.position, answer.sentAt, answer.fault === undefined)
    if (answer.fault === 'notPrimary') group.recordNotPrimary(id)
    return answer.fault === undefined
  }

  /**
   * Whether the endpoint only lacks free connections, so that a healthy primary isn't replaced. An endpoint that closes probes
   * without an answer counts as full if it answered recently on connections in use.
   */
  private handleDialFault (id: EndpointId, fault: DialFault, sentAt: Instant): boolean {
    const { group } = this
    if (fault === 'tooManyConnections') group.answered(id, undefined, clock.age(), false)
    const isOnlyFull = fault === 'tooManyConnections' || (fault === 'turnedAway' && group.reachability(id).hasAnsweredWithin(MAX_FULL_MS, clock.now()))
    if (fault === 'outOfTime') group.recordOutOfTime(id, sentAt)
    else if (!isOnlyFull) group.recordNoAnswer(id)
    return isOnlyFull
  }

  /** The endpoint's status after the command; undefined if it doesn't answer. */
  async ask (id: EndpointId, command: Command): Promise<EndpointStatus | undefined> {
    const answer = await this.askOnce(id, command, PROBE_TIMEOUT_MS)
    return answer === 'full' ? undefined : answer
  }

  /** The same for an endpoint whose answer a promotion depends on: waits longer, and asks again while the endpoint is full. */
  async askRequired (id: EndpointId, command: Command): Promise<EndpointStatus | undefined> {
    const until = clock.now() + REQUIRED_PROBE_TIMEOUT_MS
    for (;;) {
      const answer = await this.askOnce(id, command, REQUIRED_PROBE_TIMEOUT_MS)
      if (answer !== 'full') return answer
      if (clock.now() >= until) return undefined
      await pause(FULL_RETRY_MS)
    }
  }

  private async askOnce (id: EndpointId, command: Command, timeoutMs: number): Promise<EndpointStatus | 'full' | undefined> {
    const { group, dialer } = this
    const endpoint = group.lastKnown(id)
    if (endpoint === undefined) return undefined
    const dialled = await dialer.dial(endpoint, undefined, timeoutMs)
    if (dialled.isErr()) return isEndpointFull(dialled.error) ? 'full' : undefined
    const { answers: [answer] } = await dialled.value.ask([command], timeoutMs)
    dialled.value.close()
    return answer?.fault === 'busy' ? 'full' : answer?.status
  }
}
