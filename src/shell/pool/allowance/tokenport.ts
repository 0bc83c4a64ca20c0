/** Token requests between hosts as UDP datagrams. */

import { createSocket, type Socket } from 'node:dgram'
import * as z from 'zod'
import type { TeamId } from '../../../core/id/team.ts'
import type { PoolHost } from '../../../core/pool/placing/host.ts'
import { readJson } from '../../../core/readjson.ts'
import type { Log } from '../../log/log.ts'
import type { TokenTransport } from './tokentransport.ts'

type TokenGrant = NonNullable<Awaited<ReturnType<TokenTransport['ask']>>>
type RequestHandler = Parameters<TokenTransport['onRequest']>[0]

const requestShape = z.object({ ask: z.int(), team: z.string(), place: z.int().nonnegative(), count: z.int().positive() })
const answerShape = z.object({ answer: z.int(), count: z.int().nonnegative(), nextMs: z.number() })
/** A later answer isn't told; far longer than what waits before a full link. */
const MAX_LATE_MS = 5000
/** Stands for infinity, which JSON can't express. */
const NEVER_MS = 1e9

/**
 * Uses datagrams instead of a stream for each pair of hosts: a lost request is sent to another issuer, and a late answer is
 * recognised by its number and grants nothing.
 */
export class TokenPort implements TokenTransport {
  private readonly pending = new Map<number, (answer: TokenGrant | undefined) => void>()
  private handler: RequestHandler = () => undefined
  /** Requests whose time is over; an answer to them only shows that the issuer is there. */
  private readonly overdue = new Map<number, () => void>()
  private number = 0

  private constructor (private readonly socket: Socket, log: Log) {
    socket.on('message', (message, from) => this.received(message, from))
    socket.on('error', error => log.write('tokenPortFailed', { problem: error.message }))
  }

  /** Listens until the signal. */
  static listen ({ ip, port }: PoolHost['address'], log: Log, signal: AbortSignal): TokenPort {
    const socket = createSocket({ type: 'udp4', signal })
    socket.bind(port, ip)
    return new TokenPort(socket, log)
  }

  onRequest (handler: RequestHandler): void {
    this.handler = handler
  }

  async ask ({ address }: PoolHost, { team, place, count }: Parameters<TokenTransport['ask']>[1], timeoutMs: number, onLate?: () => void): Promise<TokenGrant | undefined> {
    const ask = ++this.number
    return await new Promise(resolve => {
      const end = (answer: TokenGrant | undefined) => {
        clearTimeout(timer)
        this.pending.delete(ask)
        resolve(answer)
      }
      const timer = setTimeout(() => {
        end(undefined)
        if (onLate !== undefined) this.listenOn(ask, onLate)
      }, timeoutMs)
      this.pending.set(ask, end)
      this.send({ ask, team, place, count }, address)
    })
  }

  private listenOn (ask: number, onLate: () => void): void {
    this.overdue.set(ask, onLate)
    setTimeout(() => this.overdue.delete(ask), MAX_LATE_MS).unref()
  }

  private received (message: Buffer, from: { readonly address: string, readonly port: number }): void {
    const json = readJson(message.toString('utf8'))
    const answer = answerShape.safeParse(json)
    if (answer.success) return this.answered(answer.data.answer, answer.data)
    const request = requestShape.safeParse(json)
    if (!request.success) return
    const { ask, team, place, count } = request.data
    const issued = this.handler(team as TeamId, place, count)
    if (issued !== undefined) this.send({ answer: ask, count: issued.count, nextMs: Math.min(NEVER_MS, issued.nextMs) }, { ip: from.address, port: from.port })
  }

  private answered (ask: number, grant: TokenGrant): void {
    this.pending.get(ask)?.(grant)
    this.overdue.get(ask)?.()
    this.overdue.delete(ask)
  }

  private send (message: object, { ip, port }: PoolHost['address']): void {
    this.socket.send(JSON.stringify(message), port, ip)
  }
}
