/** Numbers of packets at the MySQL server: what a client sends behind a command that has no answer, or ahead of an answer. */

import { connect } from 'node:net'
import { createConnection, type RowDataPacket } from 'mysql2/promise'
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, it, vi } from 'vitest'
import { freePorts } from '../../../standin/ports.ts'
import { RawClient } from '../../../standin/rawclient.ts'
import type { CommandHandler } from './commandhandler.ts'
import type { Reply } from './reply.ts'
import { MysqlServer } from './server.ts'

const PING = 14
const CLOSE_STATEMENT = 25
const ER_PARSE = 1064
const ERROR = 0xff
const OK = 0

const { packet, query } = RawClient
const lengthCoded = (text: string): Buffer => Buffer.concat([Buffer.from([Buffer.byteLength(text)]), Buffer.from(text)])
const column = (name: string): Buffer =>
  Buffer.concat([...['def', '', '', '', name, name].map(lengthCoded), Buffer.from([12, 45, 0, 0, 1, 0, 0, 253, 0, 0, 0, 0, 0])])

/** Answers each query with an error of the same text, a turn of the event loop later, or with as many columns as it names. */
class EchoHandler implements CommandHandler {
  async query (sql: string, reply: Reply): Promise<void> {
    await new Promise(resolve => setImmediate(resolve))
    if (sql === 'ok') return reply.ok()
    const columns = Number(/^columns (\d+)$/.exec(sql)?.[1] ?? 0)
    if (columns === 0) return reply.error(ER_PARSE, sql)
    const names = Array.from({ length: columns }, (_, i) => `c${i}`)
    reply.head(names.map(column))
    reply.rows([Buffer.concat(names.map(lengthCoded))])
    reply.end()
  }

  async use (_database: string, reply: Reply): Promise<void> { reply.ok() }
  async prepare (_sql: string, reply: Reply): Promise<void> { reply.prepareOk(1, 0) }
  async execute (_payload: Buffer, reply: Reply): Promise<void> { reply.ok() }
  async reset (reply: Reply): Promise<void> { reply.ok() }
  closeStatement (): void {}
  closed (): void {}
}

describe('the MySQL server', () => {
  const stop = new AbortController()
  let port = 0

  beforeAll(async () => {
    port = (await freePorts(1))[0]!
    await MysqlServer.listen({ host: '127.0.0.1', port, tracksSession: false, accept: async () => new EchoHandler() }, stop.signal)
  })
  afterAll(() => stop.abort())

  // Each command begins anew at number 0; counted on from the command before it, it would end the connection without an answer.
  it.each([
    ['behind a closed statement', [packet([CLOSE_STATEMENT, 1, 0, 0, 0]), query('a')], ['a']],
    ['behind two closed statements', [packet([CLOSE_STATEMENT, 1, 0, 0, 0]), packet([CLOSE_STATEMENT, 2, 0, 0, 0]), query('a')], ['a']],
    ['ahead of an answer', [query('a'), query('b'), query('c')], ['a', 'b', 'c']],
    ['ahead of an answer, behind a closed statement', [query('a'), packet([CLOSE_STATEMENT, 1, 0, 0, 0]), query('b')], ['a', 'b']]
  ])('answers a command that is sent %s', async (_title, packets, texts) => {
    const client = await RawClient.signIn(port)
    client.send(...packets)
    for (const text of texts) expect(await client.read()).toEqual([1, ERROR, text])
    client.close()
  })

  // The same when the two commands arrive one after the other, as a library sends them.
  it('answers a library that closes a prepared statement and goes on', async () => {
    const client = await createConnection({ host: '127.0.0.1', port, user: 'app' })
    const statement = await client.prepare('INSERT INTO t VALUES (1)')
    await statement.execute([])
    await statement.close()
    await client.query('ok')
    await client.end()
  })

  // The number of columns is length-coded; as a single byte it was cut, and clients lost the rest of the connection.
  it.each([250, 251, 252, 300, 4096])('sends a result of %d columns', async columns => {
    const client = await createConnection({ host: '127.0.0.1', port, user: 'app' })
    const [rows] = await client.query<RowDataPacket[]>(`columns ${columns}`)
    const names = Array.from({ length: columns }, (_, i) => `c${i}`)
    expect(rows).toEqual([Object.fromEntries(names.map(name => [name, name]))])
    await client.query('ok')
    await client.end()
  })

  // A packet that is out of order shows that the two sides don't agree on what is a command.
  it('closes a connection whose command has another number than 0', async () => {
    const client = await RawClient.signIn(port)
    client.send(packet([PING], 1))
    expect(await client.read()).toBe('closed')
  })
})

describe('the time to sign in', () => {
  const LONG_MS = 60_000
  let stop: AbortController
  let port: number
  let accept: (answer: CommandHandler | { code: number, message: string }) => void
  let isAsked: Promise<void>
  let server: MysqlServer

  beforeEach(async () => {
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout'] })
    stop = new AbortController()
    port = (await freePorts(1))[0]!
    let onAsked = (): void => undefined
    isAsked = new Promise(resolve => { onAsked = resolve })
    server = await MysqlServer.listen({
      host: '127.0.0.1',
      port,
      tracksSession: false,
      accept: async () => {
        onAsked()
        return await new Promise(resolve => { accept = resolve })
      }
    }, stop.signal)
  })
  afterEach(() => {
    vi.useRealTimers()
    stop.abort()
  })

  // A sign-in may wait for a primary up to a request's deadline, which can be set higher; its caller had neither an answer nor a refusal.
  it('ends with the login of the client, not with the answer to it', async () => {
    const client = await RawClient.open(port)
    await isAsked
    vi.advanceTimersByTime(LONG_MS)
    accept(new EchoHandler())
    expect((await client.read()).slice(0, 2)).toEqual([2, OK])
    client.close()
  })

  it('begins anew for a client that was refused and keeps its side open', async () => {
    const socket = connect({ host: '127.0.0.1', port, allowHalfOpen: true })
    const client = await RawClient.open(port, socket)
    await isAsked
    accept({ code: ER_PARSE, message: 'refused' })
    expect(await client.read()).toEqual([2, ERROR, 'refused'])
    vi.advanceTimersByTime(LONG_MS)
    while (server.connections > 0) await new Promise(resolve => setImmediate(resolve))
    socket.destroy()
  })

  it('closes the connection of a client that sends no login', async () => {
    const socket = connect(port, '127.0.0.1')
    const closed = new Promise<void>(resolve => { socket.once('close', () => resolve()) })
    await new Promise<void>(resolve => { socket.once('data', () => resolve()) })
    vi.advanceTimersByTime(LONG_MS)
    await closed
  })
})
