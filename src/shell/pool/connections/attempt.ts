/** Runs statements on a borrowed connection, and records what their answers show about the endpoint. */

import type { EndpointId } from '../../../core/id/endpoint.ts'
import type { Instant } from '../../../core/id/instant.ts'
import type { Ending } from '../../../core/pool/statements/ending.ts'
import type { Answer } from '../../../core/statement/answer.ts'
import type { Command } from '../../../core/statement/command.ts'
import type { Gate } from '../access/gate.ts'
import { clock } from '../clock.ts'
import type { PoolGroup } from '../group.ts'
import type { EndpointLink } from './link.ts'
import type { ConnectionSource } from './connectionsource.ts'
import type { PlaceTicket } from './placeticket.ts'

/** A borrowed connection with its group and its source. */
export class Attempt {
  private hasSentStatement = false

  private constructor (readonly group: PoolGroup, readonly source: ConnectionSource, readonly link: EndpointLink, private readonly gate: Gate | undefined) {}

  /** `gate`: checks callers' statements; undefined if another host checks them, and for this process's own statements. */
  static on (group: PoolGroup, source: ConnectionSource, link: EndpointLink, gate?: Gate): Attempt {
    return new Attempt(group, source, link, gate)
  }

  get endpoint (): EndpointId {
    return this.source.endpoint.id
  }

  /**
   * Sends the commands without waiting between them; resolves with the answer to the one at `index`, or with how it ended
   * without one. `isLead`: whether its success proves that the endpoint is the primary.
   */
  async ask (commands: readonly Command[], index: number, timeoutMs: number, isLead: boolean): Promise<Answer | Ending> {
    const isInternal = !commands.some(isCallerCommand)
    const began = clock.now()
    const ticket = isInternal ? undefined : this.source.requestPlace(this.link, timeoutMs)
    if (ticket !== undefined && !await this.waitForPlace(ticket, timeoutMs)) return 'busy'
    const refused = isInternal ? undefined : this.gate?.check() ?? this.drainCheck()
    if (refused !== undefined) {
      ticket?.returnPlace('notSent')
      return refused
    }
    this.hasSentStatement ||= !isInternal
    const remainingMs = ticket === undefined ? timeoutMs : timeoutMs - (clock.now() - began)
    const answer = await this.send(commands, index, remainingMs, isLead)
    ticket?.returnPlace(typeof answer === 'string' ? answer : 'done')
    return answer
  }

  /**
   * Waits for the place; resolves with whether the statement can be sent in time and on an open connection. A statement whose
   * connection ended before it was sent counts as not run, while one that ends later leaves a write in doubt.
   */
  private async waitForPlace (ticket: PlaceTicket, timeoutMs: number): Promise<boolean> {
    const until = clock.now() + timeoutMs
    const isGranted = await ticket.granted
    if (isGranted && this.link.isOpen && clock.now() < until) return true
    ticket.returnPlace('notSent')
    // A broken connection may be the first sign that the endpoint is down.
    if (!this.link.isOpen) this.group.recordNoAnswer(this.endpoint)
    return false
  }

  /** A statement that waited may come after the drain time of its endpoint; only transactions that were begun before may go on. */
  private drainCheck (): 'busy' | undefined {
    return !this.hasSentStatement && this.group.isDrained(this.endpoint) ? 'busy' : undefined
  }

  private async send (commands: readonly Command[], index: number, timeoutMs: number, isLead: boolean): Promise<Answer | Ending> {
    this.group.recordRequest(this.endpoint)
    const ended = commands.some(isCallerCommand) ? this.group.readRouter.sent(this.endpoint) : undefined
    const sentAt = clock.now()
    const { answers, lost } = await this.link.ask(commands, timeoutMs)
    const answer = answers[index]
    ended?.(answer === undefined ? lost ?? 'broken' : answer.fault ?? 'done')
    if (answers.slice(0, index).some(({ fault }) => fault !== undefined)) return this.closeUnknownState()
    if (answer === undefined) return this.recordLost(lost ?? 'broken', sentAt)
    const isDone = answer.fault === undefined
    this.group.answered(this.endpoint, answer.position, answer.sentAt, isDone && isLead)
    if (answer.fault === 'behind') this.group.recordBehind(this.endpoint)
    if (answer.fault === 'notPrimary') this.group.recordNotPrimary(this.endpoint)
    return answer.fault ?? answer
  }

  /** Returns the connection to its source, after rolling back an open transaction. */
  release (): void {
    const { link, source } = this
    if (!link.isOpen || !link.isInTransaction) return source.returnLink(link)
    link.ask([{ kind: 'rollback' }], ROLLBACK_TIMEOUT_MS).then(() => source.returnLink(link))
  }

  /** Closes the connection after a failed prelude: its session values are unknown, and the statement may have run with wrong ones. */
  private closeUnknownState (): Ending {
    this.link.close()
    return 'broken'
  }

  private recordLost (lost: 'broken' | 'outOfTime', sentAt: Instant): Ending {
    if (lost === 'broken') this.group.recordNoAnswer(this.endpoint)
    else {
      this.group.recordOutOfTime(this.endpoint, sentAt)
      this.source.closeIdle()
    }
    return lost
  }
}

function isCallerCommand (command: Command): boolean {
  return 'id' in command
}

/** Longest wait for a rollback, which doesn't wait in the endpoint's queue. */
const ROLLBACK_TIMEOUT_MS = 1000
