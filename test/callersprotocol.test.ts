/* What callers may send, and what they get, at one MySQL server of this project in this process. */

import { connect as dial, type Socket } from 'node:net'
import { createConnection, type Connection, type RowDataPacket } from 'mysql2/promise'
import rawMysql from 'mysql2'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { create } from '@bufbuild/protobuf'
import { DoneSchema, Done_Outcome as DoneOutcome } from '../src/gen/peer_pb.ts'
import { relay } from '../src/shell/caller/relay.ts'
import type { CommandHandler } from '../src/shell/mysql/commandhandler.ts'
import type { Reply } from '../src/shell/mysql/reply.ts'
import { MysqlServer } from '../src/shell/mysql/server.ts'
import { PreparedStatement } from '../src/shell/mysql/preparedstatement.ts'
import type { SlotPort } from '../src/shell/peer/slotport.ts'
import { freePorts } from '../standin/ports.ts'

const SEED = 20261202
const WINDOW = 256 * 1024
const ROW_BYTES = 10_000
const ROWS = 20_000
const HASH = 'a'.repeat(40)

/** Column definitions: name, type, flags. */
const COLUMNS = [
  ['tiny', 1, 0], ['big', 8, 0], ['unsigned', 8, 32], ['float', 4, 0], ['double', 5, 0], ['decimal', 246, 0],
  ['text', 253, 0], ['date', 10, 0], ['datetime', 12, 0], ['time', 11, 0], ['year', 13, 32], ['none', 8, 0]
] as const
const VALUES = [
  ['-7', '-9007199254740993', '18446744073709551615', '1.5', '-2.25', '123.4500', 'blåbær', '2026-12-02', '2026-12-02 18:42:00.250000', '-26:03:04', '2026', null],
  ['127', '0', '0', '0', '1e300', '0', '', '1999-01-31', '1999-01-31 00:00:00', '00:00:00', '1999', null]
] as const

const field = (text: string | null): Buffer => text === null ? Buffer.from([0xfb]) : Buffer.concat([Buffer.from([Buffer.byteLength(text)]), Buffer.from(text)])
const column = (name: string, type: number, flags: number): Buffer => {
  const fixed = Buffer.from([12, 45, 0, 0, 1, 0, 0, type, flags, 0, 6, 0, 0])
  return Buffer.concat([...['def', '', '', '', name, name].map(field), fixed])
}

/** What the slot owner under `big` has sent, and what of it was paid back. */
const flow = { sent: 0, credited: 0, most: 0, isDone: false }

/** A slot owner with a result of 200 MB that it makes while it has credit. */
function bigPort (): SlotPort {
  return {
    run: (_req, sink) => {
      let credit = WINDOW
      let left = ROWS
      const row = Buffer.concat([Buffer.from([0xfc, ROW_BYTES & 0xff, ROW_BYTES >> 8]), Buffer.alloc(ROW_BYTES, 'x')])
      const pump = (): void => {
        while (credit > 0 && left > 0) {
          credit -= row.length
          left--
          flow.sent += row.length
          flow.most = Math.max(flow.most, flow.sent - flow.credited)
          sink.rows([row])
        }
        if (left > 0 || flow.isDone) return
        flow.isDone = true
        sink.done(create(DoneSchema, { outcome: DoneOutcome.DONE }))
      }
      sink.head([column('x', 253, 0)])
      setImmediate(pump)
      return {
        credit: bytes => {
          credit += bytes
          flow.credited += bytes
          setImmediate(pump)
        },
        cancel: () => { left = 0 }
      }
    },
    confirm: async () => { throw new Error('not asked') },
    release: () => undefined
  } as SlotPort
}

class TestHandler implements CommandHandler {
  readonly gone = new AbortController()
  lastSql = ''
  private statement = PreparedStatement.of(1, '')

  async query (sql: string, reply: Reply): Promise<void> {
    if (sql === 'big') {
      const request = { sql } as unknown as Parameters<typeof relay>[1]
      await relay(bigPort(), request, reply, false, this.onGone)
      return reply.end()
    }
    if (sql === 'typed') return this.typed(reply, false)
    reply.ok()
  }

  async use (_database: string, reply: Reply): Promise<void> { reply.ok() }

  async prepare (sql: string, reply: Reply): Promise<void> {
    this.statement = PreparedStatement.of(1, sql)
    reply.prepareOk(1, this.statement.parameterCount)
  }

  async execute (payload: Buffer, reply: Reply): Promise<void> {
    const sql = this.statement.bind(payload)
    if (sql === 'typed') return await this.typed(reply, true)
    reply.error(1064, sql)
  }

  async reset (reply: Reply): Promise<void> { reply.ok() }
  closeStatement (): void {}
  closed (): void { this.gone.abort() }

  private readonly onGone = (cancel: () => void): void => this.gone.signal.addEventListener('abort', cancel, { once: true })

  private async typed (reply: Reply, isBinary: boolean): Promise<void> {
    const port = {
      run: (_req: unknown, sink: Parameters<SlotPort['run']>[1]) => {
        setImmediate(() => {
          sink.head(COLUMNS.map(([name, type, flags]) => column(name, type, flags)))
          sink.rows(VALUES.map(row => Buffer.concat(row.map(field))))
          sink.done(create(DoneSchema, { outcome: DoneOutcome.DONE }))
        })
        return { credit: () => undefined, cancel: () => undefined }
      }
    } as unknown as SlotPort
    await relay(port, {} as unknown as Parameters<typeof relay>[1], reply, isBinary, this.onGone)
    reply.end()
  }
}

describe('the server side of MySQL', () => {
  const stop = new AbortController()
  let port = 0
  let server: MysqlServer

  beforeAll(async () => {
    port = (await freePorts(1))[0]!
    server = await MysqlServer.listen({
      host: '127.0.0.1',
      port,
      tracksSession: false,
      accept: async login => {
        login.verifyPassword(HASH)
        return login.user === 'app' ? new TestHandler() : { code: 1045, message: 'Access denied' }
      }
    }, stop.signal)
  })
  afterAll(() => stop.abort())

  const open = async (user = 'app'): Promise<Connection> =>
    await createConnection({ host: '127.0.0.1', port, user, supportBigNumbers: true, bigNumberStrings: true, dateStrings: true })
  const socket = async (): Promise<Socket> => await new Promise(resolve => {
    const one = dial(port, '127.0.0.1', () => resolve(one))
    one.on('error', () => undefined)
  })
  const closed = async (one: Socket): Promise<void> => await new Promise(resolve => { one.destroyed ? resolve() : one.once('close', () => resolve()) })

  it.each([
    [null, 'NULL'], [1, '1'], [-1.5, '-1.5'], [true, 'true'], ['it\'s', "'it''s'"], ['a\\', "_utf8mb4 X'615c'"], ['ø?', "'ø?'"], ['', "''"],
    [9007199254740993n, '9007199254740993'], [-9007199254740993n, '-9007199254740993'], [Buffer.from([0xff, 0]), "X'ff00'"],
    ['x'.repeat(70_000), `'${'x'.repeat(70_000)}'`], [new Date(2026, 11, 2, 18, 42, 0, 250), "'2026-12-02 18:42:00.250000'"]
  ])('puts the parameter %# in its place', async (value, literal) => {
    const one = await open()
    const err = await one.execute('SELECT ?, "?"', [value]).catch((error: Error) => error) as Error
    const said = err.message.replace(/^SELECT '(-?\d+)', /, 'SELECT $1, ').replace('SELECT 1,', value === true ? 'SELECT true,' : 'SELECT 1,')
    expect(said).toBe(`SELECT ${literal}, "?"`)
    await one.end()
  })

  it('gives the same values in the text and the binary protocol', async () => {
    const one = await open()
    const [text] = await one.query<RowDataPacket[]>('typed')
    const [binary] = await one.execute<RowDataPacket[]>('typed')
    expect(binary).toEqual(text)
    expect(text[0]).toMatchObject({ big: '-9007199254740993', unsigned: '18446744073709551615', decimal: '123.4500', text: 'blåbær', none: null })
    await one.end()
  })

  // A caller asks for 200 MB and stops reading. Nothing may hold the result
  // for it: the slot owner runs out of credit until the caller reads on.
  it('holds no more than a window of a result that its caller does not take', async () => {
    const one = rawMysql.createConnection({ host: '127.0.0.1', port, user: 'app' })
    let rows = 0
    const query = one.query('big')
    const ended = new Promise<void>((resolve, reject) => query.on('end', () => resolve()).on('error', reject))
    query.on('result', () => { rows++ })
    await new Promise<void>(resolve => query.once('result', () => resolve()))
    one.pause()
    let before = -1
    while (before !== flow.sent) {
      before = flow.sent
      await new Promise(resolve => { setTimeout(resolve, 200) })
    }
    expect(flow.isDone).toBe(false)
    one.resume()
    await ended
    expect(rows).toBe(ROWS)
    expect(flow.most).toBeLessThanOrEqual(WINDOW + ROW_BYTES + 3)
    one.destroy()
  })

  // A client announces a packet of 16 MB as its login and sends it. mysql2
  // would keep all of it before anybody has signed in.
  it('closes a login that is larger than a login can be', async () => {
    const one = await socket()
    one.resume()
    one.write(Buffer.from([0xff, 0xff, 0xff, 1]))
    const chunk = Buffer.alloc(16 * 1024)
    let sent = 0
    while (!one.destroyed && sent < 4 * 1024 * 1024) {
      one.write(chunk)
      sent += chunk.length
      await new Promise(resolve => setImmediate(resolve))
    }
    await closed(one)
    expect(sent).toBeLessThan(4 * 1024 * 1024)
  })

  // The attributes of a login claim to be 2^40 bytes long. mysql2 throws while
  // it reads past the end; the next caller is served.
  it('closes a login whose lengths reach past its end', async () => {
    const one = await socket()
    one.resume()
    one.write(login(Buffer.from([0xfe, 0, 0, 0, 0, 0, 1, 0, 0])))
    await closed(one)
    const next = await open()
    await next.ping()
    await next.end()
  })

  // A client sends a piece of a long value, which MySQL never answers. An
  // error would be taken for the answer to its next command.
  it('closes the connection of a client that sends a long value in pieces', async () => {
    const one = await socket()
    await signIn(one, login(Buffer.from([0])))
    let answer = 0
    one.on('data', chunk => { answer += chunk.length })
    one.write(command(0, Buffer.from([24, 1, 0, 0, 0, 0, 0, 0x78])))
    await closed(one)
    expect(answer).toBe(0)
  })

  it('refuses a caller with MySQL\'s own code', async () => {
    await expect(open('nobody')).rejects.toMatchObject({ errno: 1045 })
  })

  // Random bytes, cut and changed logins and commands, from many clients.
  // Each may lose its own connection; the process lives and serves the next.
  it('survives malformed input', async () => {
    const generator = xoroshiro128plus(SEED)
    const pick = (most: number): number => (generator.next() >>> 0) % most
    const bytes = (most: number): Buffer => Buffer.from(Array.from({ length: pick(most) }, () => pick(256)))
    const attributes = Buffer.from([0])
    let signedIn = 0
    for (let i = 0; i < 300; i++) {
      const one = await socket()
      const isSignedIn = pick(2) === 0
      if (isSignedIn) await signIn(one, login(attributes))
      const packets = [22, 23, 3, 2, 25, 26, 31, pick(256)].map(code => command(0, Buffer.concat([Buffer.from([code]), bytes(40)])))
      const all = pick(4) === 0 ? bytes(400) : Buffer.concat(isSignedIn ? packets : [login(attributes)])
      for (let k = pick(4); k > 0; k--) if (all.length > 0) all[pick(all.length)] = pick(256)
      signedIn += Number(isSignedIn)
      one.write(all.subarray(0, 1 + pick(all.length)))
      one.resume()
      one.end()
      await closed(one)
    }
    const last = await open()
    await last.ping()
    await last.end()
    expect(signedIn).toBeGreaterThan(100)
    await expect.poll(() => server.connections, { timeout: 10_000 }).toBe(0)
  })
})

/** Signs in and waits for the OK that follows the greeting. */
async function signIn (one: Socket, packet: Buffer): Promise<void> {
  await new Promise<void>(resolve => {
    let received = Buffer.alloc(0)
    one.on('data', (chunk: Buffer) => {
      const before = received.length
      received = Buffer.concat([received, chunk])
      const greeting = 4 + (received[0] ?? 0)
      if (before < greeting && received.length >= greeting) one.write(packet)
      if (received.length > greeting) resolve()
    })
  })
}

function command (sequence: number, payload: Buffer): Buffer {
  return Buffer.concat([Buffer.from([payload.length & 0xff, payload.length >> 8, 0, sequence]), payload])
}

function login (attributes: Buffer): Buffer {
  const fixed = Buffer.alloc(32)
  fixed.writeUInt32LE(0x200 | 0x8000 | 0x80000 | 0x100000)
  fixed.writeUInt32LE(0x1000000, 4)
  fixed[8] = 45
  return command(1, Buffer.concat([fixed, Buffer.from('app\0'), Buffer.from([0]), Buffer.from('mysql_native_password\0'), attributes]))
}
