/** What callers get whose connections are closed because their process leaves, over real sockets. */

import { setImmediate as readPending } from 'node:timers/promises'
import { createConnection } from 'mysql2/promise'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import type { Instant } from '../../core/id/instant.ts'
import { freePorts } from '../../../standin/ports.ts'
import { RawClient } from '../../../standin/rawclient.ts'
import type { CommandHandler } from '../mysql/commandhandler.ts'
import type { Reply } from '../mysql/reply.ts'
import { MysqlServer } from '../mysql/server.ts'
import { CallerConnections } from './callerconnections.ts'

const { query } = RawClient
const timings = { transactionsMs: 10_000, callersMs: 5000, idleMs: 500, pauseMs: 20 }
const ER_PARSE = 1064
const ERROR = 0xff
/** More rows than the buffers of a connection on loopback take. */
const LARGE = Array.from({ length: 32 }, () => Buffer.alloc(1024 * 1024, 1))
const REFUSAL = 'not run: this proxy is leaving; connect again and send the request again'

describe('callers of a process that leaves', () => {
  let stop: AbortController
  let port: number
  let now: number
  let connections: CallerConnections
  let ran: string[]
  /** Queries end when this has settled. */
  let gate: Promise<void>
  /** Called as soon as the server has closed a connection, before any client has read of it. */
  let onClose: () => void

  beforeEach(async () => {
    stop = new AbortController()
    port = (await freePorts(1))[0]!
    now = 0
    ran = []
    gate = Promise.resolve()
    onClose = () => undefined
    connections = CallerConnections.create({ timings, now: () => now as Instant, onCount: () => undefined })
    await MysqlServer.listen({
      host: '127.0.0.1',
      port,
      tracksSession: false,
      accept: async login => connections.wrap(handler(), {
        isReceiving: () => login.isReceiving(),
        closeConnection: async (code, message) => {
          const sent = login.closeConnection(code, message)
          onClose()
          await sent
        }
      }, () => undefined)
    }, stop.signal)
  })
  afterEach(() => stop.abort())

  /** Answers each query with an error of the same text. */
  function handler (): CommandHandler {
    const query = async (sql: string, reply: Reply): Promise<void> => {
      ran.push(sql)
      await gate
      if (sql === 'reject') throw new RangeError('as for a malformed packet')
      if (sql !== 'large') return reply.error(ER_PARSE, sql)
      reply.head([])
      reply.rows(LARGE)
      reply.end()
    }
    return { query, closed: () => undefined } as unknown as CommandHandler
  }

  // A timer is run before sockets are read: the connection seems idle while its statement waits to be read.
  it('are answered what has arrived and is not read when an idle connection is due', async () => {
    const client = await RawClient.signIn(port)
    now = 1000
    client.send(query('a'))
    connections.drain()
    expect(await client.read()).toEqual([1, ERROR, 'a'])
    client.close()
  })

  it('are answered a statement of which a part has arrived when an idle connection is due', async () => {
    const client = await RawClient.signIn(port)
    const statement = query('a')
    client.send(statement.subarray(0, 3))
    await turns()
    now = 1000
    connections.drain()
    await turns()
    client.send(statement.subarray(3))
    expect(await client.read()).toEqual([1, ERROR, 'a'])
    client.close()
  })

  // The connection of a caller that sends ahead isn't read until it is answered, so a close right behind the answer would lose what waits.
  it('are answered what they sent ahead of an answer', async () => {
    const client = await RawClient.signIn(port)
    let answer = (): void => undefined
    gate = new Promise(resolve => { answer = resolve })
    now = 1000
    client.send(query('a'))
    await turns()
    client.send(query('b'))
    await turns()
    client.send(query('c'))
    connections.drain()
    answer()
    for (const text of ['a', 'b', 'c']) expect(await client.read()).toEqual([1, ERROR, text])
    client.close()
  })

  it('are refused each statement that they sent after their time', async () => {
    const client = await RawClient.signIn(port)
    connections.drain()
    now = 5000
    client.send(query('a'), query('b'))
    expect([await client.read(), await client.read()]).toEqual([[1, ERROR, REFUSAL], [1, ERROR, REFUSAL]])
    expect(ran).toEqual([])
  })

  // No server can take back a close that a statement crosses on its way; what is written before it is the only answer left.
  it('have an error, and nothing run, for a statement that crosses the close', async () => {
    const client = await RawClient.signIn(port)
    onClose = () => client.send(query('crossed'))
    now = 1000
    connections.drain()
    expect(await client.read()).toEqual([0, ERROR, REFUSAL])
    expect(await client.read()).toBe('closed')
    expect(ran).toEqual([])
  })

  it('of a library have the same error for a statement that crosses the close', async () => {
    const client = await createConnection({ host: '127.0.0.1', port, user: 'app' })
    client.on('error', () => undefined)
    const crossed = new Promise(resolve => { onClose = () => { client.query('crossed').catch(resolve) } })
    now = 1000
    connections.drain()
    expect(await crossed).toMatchObject({ errno: 1053, message: REFUSAL })
    expect(ran).toEqual([])
  })

  // The process ends when its callers are gone: what waits in it for a caller that reads slowly would end with it.
  it('have the whole of a large answer before the process may end', async () => {
    const client = await RawClient.signIn(port)
    const closing = new Promise<void>(resolve => { onClose = resolve })
    now = 1000
    client.socket.pause()
    client.send(query('large'))
    const server = stop
    const drained = connections.drain().then(() => server.abort())
    await closing
    await Promise.race([drained, new Promise(resolve => { setTimeout(resolve, 100) })])
    client.socket.resume()
    for (let number = 1; number <= LARGE.length + 3; number++) expect((await client.read())[0]).toBe(number)
    expect(await client.read()).toEqual([0, ERROR, REFUSAL])
    await drained
  })

  it('hold the process no longer than their time if they do not read', async () => {
    const client = await RawClient.signIn(port)
    const closing = new Promise<void>(resolve => { onClose = resolve })
    now = 1000
    client.socket.pause()
    client.send(query('large'))
    const drained = connections.drain()
    await closing
    now = 6000
    await drained
    client.close()
  })

  // A request whose handler rejects has no end that would mark its connection as idle; the process would wait for it for ever.
  it('do not hold the process with a request whose handler rejected', async () => {
    const client = await RawClient.signIn(port)
    client.send(query('reject'))
    expect(await client.read()).toBe('closed')
    now = 1000
    await connections.drain()
  })

  // A caller that begins a statement and never sends the rest must not hold the process.
  it('are closed within their time though a statement never arrives whole', async () => {
    const client = await RawClient.signIn(port)
    client.send(query('a').subarray(0, 3))
    await turns()
    const drained = connections.drain()
    now = 5500
    await drained
    expect(await client.read()).toEqual([0, ERROR, REFUSAL])
  })
})

/** Lets what was sent on loopback be read. */
async function turns (): Promise<void> {
  for (let i = 0; i < 5; i++) await readPending()
}
