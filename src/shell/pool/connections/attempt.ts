/** One try to run a statement on a connection, and what its answers show of the endpoint. */

import type { EndpointId } from '../../../core/id/endpoint.ts'
import type { Ending } from '../../../core/pool/statements/ending.ts'
import type { Answer } from '../../../core/statement/answer.ts'
import type { Command } from '../../../core/statement/command.ts'
import type { Gate } from '../access/gate.ts'
import { clock } from '../clock.ts'
import type { PoolGroup } from '../group.ts'
import type { EndpointLink } from './link.ts'
import type { ConnectionSource } from './connectionsource.ts'
import type { PlaceTicket } from './placeticket.ts'

/** A connection on loan, with what it belongs to. */
export class Attempt {
  private constructor (readonly group: PoolGroup, readonly source: ConnectionSource, readonly link: EndpointLink, private readonly gate: Gate | undefined) {}

  /** `gate`: what callers' statements go through; undefined where another host looks after that, and for this process's own. */
  static on (group: PoolGroup, loans: ConnectionSource, link: EndpointLink, gate?: Gate): Attempt {
    return new Attempt(group, loans, link, gate)
  }

  get endpoint (): EndpointId {
    return this.source.endpoint.id
  }

  /**
   * Sends the commands at once; resolves with the answer to the one at `index`,
   * or with how it ended without one. `isLead`: whether its success proves that the
   * endpoint leads.
   */
  async ask (commands: readonly Command[], index: number, timeoutMs: number, isLead: boolean): Promise<Answer | Ending> {
    const isOwn = !commands.some(isCallerCommand)
    const began = clock.now()
    const ticket = isOwn ? undefined : this.source.requestPlace(this.link, timeoutMs)
    if (ticket !== undefined && !await this.waitForPlace(ticket, timeoutMs)) return 'busy'
    const refused = isOwn ? undefined : this.gate?.check()
    if (refused !== undefined) {
      ticket?.returnPlace('notSent')
      return refused
    }
    const leftMs = ticket === undefined ? timeoutMs : timeoutMs - (clock.now() - began)
    const answer = await this.send(commands, index, leftMs, isLead)
    ticket?.returnPlace(typeof answer === 'string' ? answer : 'done')
    return answer
  }

  /**
   * Whether the statement has its place in time, and still its connection. One whose connection ended while it waited was never sent: that is
   * "not run", where a connection that ends later leaves a write in doubt.
   */
  private async waitForPlace (ticket: PlaceTicket, timeoutMs: number): Promise<boolean> {
    const until = clock.now() + timeoutMs
    const isGranted = await ticket.granted
    if (isGranted && this.link.isOpen && clock.now() < until) return true
    ticket.returnPlace('notSent')
    // A broken connection may be the first sign that the endpoint is gone.
    if (!this.link.isOpen) this.group.recordNoAnswer(this.endpoint)
    return false
  }

  private async send (commands: readonly Command[], index: number, timeoutMs: number, isLead: boolean): Promise<Answer | Ending> {
    this.group.recordRequest(this.endpoint)
    const ended = commands.some(isCallerCommand) ? this.group.readRouter.sent(this.endpoint) : undefined
    const { answers, lost } = await this.link.ask(commands, timeoutMs)
    const answer = answers[index]
    ended?.(answer === undefined ? lost ?? 'broken' : answer.fault ?? 'done')
    if (answers.slice(0, index).some(({ fault }) => fault !== undefined)) return this.closeUnknownState()
    if (answer === undefined) return this.recordLost(lost ?? 'broken')
    const isDone = answer.fault === undefined
    this.group.answered(this.endpoint, answer.position, answer.sentAt, isDone && isLead)
    if (answer.fault === 'behind') this.group.recordBehind(this.endpoint)
    if (answer.fault === 'notPrimary') this.group.recordNotPrimary(this.endpoint)
    return answer.fault ?? answer
  }

  /** Gives the connection back; a transaction that is open on it is rolled back first. */
  release (): void {
    const { link, source: loans } = this
    if (!link.isOpen || !link.isInTransaction) return loans.returnLink(link)
    link.ask([{ kind: 'rollback' }], ROLLBACK_MS).then(() => loans.returnLink(link))
  }

  /**
   * Against a statement that ran under values that weren't taken: what is set on
   * the connection isn't known any more, and the answer isn't passed on.
   */
  private closeUnknownState (): Ending {
    this.link.close()
    return 'broken'
  }

  private recordLost (lost: 'broken' | 'outOfTime'): Ending {
    this.group.recordNoAnswer(this.endpoint)
    if (lost === 'outOfTime') this.source.closeIdle()
    return lost
  }
}

function isCallerCommand (command: Command): boolean {
  return 'id' in command
}

/** A rollback takes no place in the endpoint's queue: without an answer after this the connection is silent. */
const ROLLBACK_MS = 1000
