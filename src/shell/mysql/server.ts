/** The server side of the MySQL protocol on one listening address. */

import type { Server } from 'node:net'
import mysql from 'mysql2'
import type { CommandHandler } from './commandhandler.ts'
import type { Login } from './login.ts'
import { payloadOf } from './payload.ts'
import { isNativePassword } from './nativepassword.ts'
import { Reply } from './reply.ts'
import type { Wire } from './wire.ts'

type IncomingPacket = NonNullable<Parameters<NonNullable<Wire['_command']>['execute']>[0]>

interface Options {
  readonly host: string
  readonly port: number
  /** Whether OK packets may carry session state, in which endpoints send replication positions. */
  readonly tracksSession: boolean
  /** Resolves with the handler of a connection, or with the error that rejects the login. */
  readonly accept: (login: Login) => Promise<CommandHandler | LoginError>
}

interface LoginError {
  readonly code: number
  readonly message: string
}

const enum Command {
  Quit = 1,
  InitDb = 2,
  Query = 3,
  Ping = 14,
  Prepare = 22,
  Execute = 23,
  SendLongData = 24,
  CloseStatement = 25,
  ResetStatement = 26,
  SetOption = 27,
  ResetConnection = 31
}

const HEADER_BYTES = 4
const ER_UNKNOWN_COMMAND = 1047
const MAX_LOGIN_BYTES = 64 * 1024
/** MySQL's default `max_allowed_packet`. */
const MAX_COMMAND_BYTES = 64 * 1024 * 1024
/** Connections that haven't sent their login after this time are closed, and so are refused ones; how long a login waits is up to `accept`. */
const LOGIN_TIMEOUT_MS = 10_000
const PROTOCOL_VERSION = 10
const UTF8MB4 = 45
/** LONG_PASSWORD, FOUND_ROWS, LONG_FLAG, CONNECT_WITH_DB, PROTOCOL_41, TRANSACTIONS, SECURE_CONNECTION, PLUGIN_AUTH, CONNECT_ATTRS. */
const CAPABILITIES = 0x1 | 0x2 | 0x4 | 0x8 | 0x200 | 0x2000 | 0x8000 | 0x80000 | 0x100000
const SESSION_TRACK = 0x800000

/** A listening MySQL server. Stops and closes its connections when the signal is aborted. */
export class MysqlServer {
  private readonly wires = new Set<Wire>()
  private nextConnection = 1

  private constructor (private readonly options: Options, private readonly server: ReturnType<typeof mysql.createServer>) {}

  /** Resolves when the server listens. Rejects with the system error if it cannot bind the address. */
  static async listen (options: Options, signal: AbortSignal): Promise<MysqlServer> {
    const server = mysql.createServer(() => undefined)
    const it = new MysqlServer(options, server)
    server.on('connection', connection => it.accept(connection as unknown as Wire))
    const net = netServer(server)
    await new Promise<void>((resolve, reject) => {
      net.once('error', reject)
      net.listen(options.port, options.host, resolve)
    })
    signal.addEventListener('abort', () => it.stop(), { once: true })
    return it
  }

  /** Number of open connections. */
  get connections (): number {
    return this.wires.size
  }

  /** Stops accepting connections; open ones stay. */
  close (): void {
    netServer(this.server).close()
  }

  private stop (): void {
    this.close()
    for (const wire of this.wires) wire.stream.destroy()
  }

  private accept (wire: Wire): void {
    // mysql2 allocates a cache of prepared statements for each connection (half a megabyte). Only the client side uses it.
    wire._statements = undefined
    const connection = Connection.open(wire, this.options, this.nextConnection++)
    this.wires.add(wire)
    wire.stream.once('close', () => {
      this.wires.delete(wire)
      connection.closed()
    })
  }
}

/** The listening socket, which mysql2 keeps private. mysql2's own wrappers report neither errors nor the close. */
function netServer (server: ReturnType<typeof mysql.createServer>): Server {
  return (server as unknown as { _server: Server })._server
}

/** A client connection: authenticates the client, then passes its commands to the handler one at a time. */
class Connection {
  private handler: CommandHandler | undefined
  private readonly waiting: Buffer[] = []
  private isBusy = false
  private hasLogin = false
  private timer: NodeJS.Timeout | undefined
  /** Whether this side has closed the connection, so that nothing that arrives is read. */
  private isOver = false
  /** Bytes received since the last complete packet. */
  private pendingBytes = 0

  private constructor (private readonly wire: Wire) {}

  static open (wire: Wire, options: Options, id: number): Connection {
    const it = new Connection(wire)
    wire.stream.setNoDelay(true)
    // mysql2 reports malformed input here.
    wire.on('error', () => wire.stream.destroy())
    wire.on('warn', () => wire.stream.destroy())
    wire.serverHandshake({
      protocolVersion: PROTOCOL_VERSION,
      serverVersion: '8.0.0-agatepond',
      connectionId: id,
      statusFlags: 2,
      characterSet: UTF8MB4,
      capabilityFlags: CAPABILITIES | (options.tracksSession ? SESSION_TRACK : 0),
      authCallback: (login: LoginData, done: (err: null, refusal?: object) => void) => it.login(login, options, done)
    })
    const handshake = wire._command!
    wire._command = {
      execute: (packet, same) => {
        it.pendingBytes -= sizeOf(packet!)
        if (it.isOver) return false
        if (it.handler !== undefined) {
          // Each command begins at 0, also behind one that has no reply.
          wire.sequenceId = 0
          it.enqueue(payloadOf(packet!))
        } else if (it.hasLogin) {
          // A command that was sent before the login was answered: the client is not authenticated yet.
          wire.stream.destroy()
        } else {
          it.hasLogin = true
          clearTimeout(it.timer)
          handshake.execute(packet, same)
        }
        return false
      }
    }
    wire.stream.prependListener('data', (chunk: Buffer) => it.limitPacketSize(chunk.length))
    it.startTimer()
    wire.stream.once('close', () => clearTimeout(it.timer))
    return it
  }

  /**
   * Closes the connection if a packet exceeds its size limit. mysql2 buffers a
   * packet until it is complete, so an oversized one would exhaust the memory
   * of the process, even before the client has signed in.
   */
  private limitPacketSize (bytes: number): void {
    this.pendingBytes += bytes
    const most = this.handler === undefined ? MAX_LOGIN_BYTES : MAX_COMMAND_BYTES
    if (this.pendingBytes > most) this.wire.stream.destroy()
  }

  private startTimer (): void {
    this.timer = setTimeout(() => this.wire.stream.destroy(), LOGIN_TIMEOUT_MS)
  }

  closed (): void {
    this.handler?.closed()
    this.waiting.length = 0
  }

  private login (data: LoginData, options: Options, done: (err: null, refusal?: object) => void): void {
    const scramble = Buffer.concat([data.authPluginData1, data.authPluginData2])
    const accepted = options.accept({
      user: data.user,
      database: data.database ?? '',
      attributes: this.wire.clientHelloReply?.connectAttributes ?? {},
      address: data.address,
      verifyPassword: passwordHash => isNativePassword(data.authToken, scramble, passwordHash),
      isReceiving: () => this.pendingBytes > 0 || this.waiting.length > 0,
      closeConnection: async (code, message) => await this.close(code, message)
    })
    accepted.then(answer => {
      if (this.wire.stream.destroyed) return 'code' in answer ? undefined : answer.closed()
      if ('code' in answer) {
        this.startTimer()
        return done(null, answer)
      }
      this.handler = answer
      done(null)
      this.wire.sequenceId = 0
    }, () => this.wire.stream.destroy())
  }

  private async close (code: number, message: string): Promise<void> {
    const { wire } = this
    this.isOver = true
    this.waiting.length = 0
    wire.sequenceId = 0
    wire.writeError({ code, message })
    wire.sequenceId = 0
    await new Promise<void>(resolve => { wire.stream.end(() => resolve()) })
  }

  private enqueue (payload: Buffer): void {
    if (this.isBusy) {
      this.waiting.push(payload)
      this.wire.stream.pause()
      return
    }
    this.isBusy = true
    this.run(payload)
  }

  private async run (payload: Buffer): Promise<void> {
    try {
      await this.dispatch(payload)
    } catch {
      // The reply may be partly written, so nothing more may be sent on this connection.
      this.wire.stream.destroy()
    }
    this.isBusy = false
    const next = this.waiting.shift()
    if (next !== undefined) return this.enqueue(next)
    this.wire.stream.resume()
  }

  private async dispatch (payload: Buffer): Promise<void> {
    const { handler, wire } = this
    if (handler === undefined) return
    const body = payload.subarray(1)
    const command: Command = payload[0] ?? 0
    switch (command) {
      case Command.Quit:
        wire.stream.end()
        return
      case Command.CloseStatement: return handler.closeStatement(body.length < 4 ? 0 : body.readUInt32LE(0))
      case Command.Query: return await handler.query(body.toString('utf8'), Reply.of(wire))
      case Command.InitDb: return await handler.use(body.toString('utf8'), Reply.of(wire))
      case Command.Prepare: return await handler.prepare(body.toString('utf8'), Reply.of(wire))
      case Command.Execute: return await handler.execute(body, Reply.of(wire))
      case Command.ResetConnection: return await handler.reset(Reply.of(wire))
      case Command.SendLongData:
        // Not supported. The command has no reply, so the client would take an error for the reply to its next command.
        wire.stream.destroy()
        return
      case Command.Ping:
      case Command.ResetStatement: return Reply.of(wire).ok()
      case Command.SetOption: return Reply.of(wire).end()
      default: return Reply.of(wire).error(ER_UNKNOWN_COMMAND, `command ${command} isn't supported by this proxy`)
    }
  }
}

/** Bytes of a received command on the wire. */
function sizeOf ({ start, end, numPackets }: IncomingPacket): number {
  return end - start + (numPackets - 1) * HEADER_BYTES
}

interface LoginData {
  readonly user: string
  readonly database?: string
  readonly address: string
  readonly authPluginData1: Buffer
  readonly authPluginData2: Buffer
  readonly authToken: Buffer
}
