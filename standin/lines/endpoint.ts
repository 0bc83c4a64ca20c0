/**
 * A small endpoint that speaks the line protocol, in the process of a test. It
 * keeps what it was sent, so that a test can tell what ran where.
 */

import { createServer, type Server, type Socket } from 'node:net'
import type { Replication } from './replication.ts'

interface Faults {
  /** Refuses so many questions for its status, and commands that stop or resume replication, as busy. */
  busyStatuses?: number
  /** Answers every read, write and commit with this word. */
  refuseWith?: string
  /** Runs the next statement whose text begins so, and breaks the connection in place of the answer. */
  breakOn?: string
  /** Runs the next statement whose text begins so, and sends nothing for it. */
  loseAnswerTo?: string
  /** Connections that it takes; further ones are reset without a word. */
  mostConnections?: number
  /** Takes new connections and leaves their sign-ins without an answer; those that are open go on. */
  ignoresStarts?: boolean
  /** Answers nothing at all, on connections that are open and on new ones. */
  isSilent?: boolean
}

interface Connection {
  readonly socket: Socket
  readonly number: number
  /** Who its sign-in named. */
  who: string
  state: 'I' | 'T' | 'E'
  isPlain: boolean
  readonly values: Map<string, string>
  readonly prepared: Map<string, string>
  /** Writes of the open transaction. */
  pending: string[]
}

/** The id of statements that a host sends for itself. */
const OWN = '-'

interface Options {
  readonly id: string
  readonly service: string
  readonly port: number
  readonly isPrimary: boolean
}

/** Its faults and its log are set by the test. */
export class LineEndpoint {
  /** Each message as `connection|id|text`, in order. */
  readonly heard: string[] = []
  /** Statements that ran, as `text {values}`. */
  readonly ran: string[] = []
  /** Who was named on the connection of each caller's statement, as `who|text`. */
  readonly told: string[] = []
  /** Writes that took effect: single ones, and those of transactions that were committed. */
  readonly kept: string[] = []
  readonly faults: Faults = {}
  isPrimary: boolean
  term = 1
  position = 0
  opened = 0
  turnedAway = 0
  /** The term under which it has stopped receiving; 0 while it receives. */
  pausedBy = 0
  /** With it, a write is answered once a replica has received it. */
  replication: Replication | undefined
  private readonly sockets = new Set<Socket>()

  private constructor (private readonly options: Options, private readonly server: Server) {
    this.isPrimary = options.isPrimary
  }

  static async start (options: Options): Promise<LineEndpoint> {
    const server = createServer()
    const endpoint = new LineEndpoint(options, server)
    server.on('connection', socket => endpoint.accept(socket))
    await new Promise<void>(resolve => server.listen(options.port, '127.0.0.1', resolve))
    return endpoint
  }

  get id (): string {
    return this.options.id
  }

  /** Its entry in the directory. */
  entry (change: Readonly<Record<string, unknown>> = {}): string {
    const { service, port } = this.options
    const dbRole = this.isPrimary ? 'primary' : 'replica'
    return JSON.stringify({ service, address: `127.0.0.1:${port}`, zone: 'z1', version: 'v1', capacity: 2, state: 'ready', coldLeftMs: 0, dbRole, sequence: 1, ...change })
  }

  /** Takes the log of the primary. */
  receive ({ kept, position }: LineEndpoint): void {
    if (this.position === position) return
    this.kept.splice(0, Infinity, ...kept)
    this.position = position
  }

  /** The next term begins, with the log of the successor. */
  follow (successor: LineEndpoint, isPrimary: boolean): void {
    this.term++
    this.pausedBy = 0
    this.isPrimary = isPrimary
    if (!isPrimary) this.receive(successor)
  }

  /** Ends it as a crash does. */
  async stop (): Promise<void> {
    for (const socket of this.sockets) socket.resetAndDestroy()
    await new Promise<void>(resolve => this.server.close(() => resolve()))
  }

  private accept (socket: Socket): void {
    if (this.sockets.size >= (this.faults.mostConnections ?? Infinity)) {
      this.turnedAway++
      socket.resetAndDestroy()
      return
    }
    this.sockets.add(socket)
    const connection: Connection = { socket, number: ++this.opened, who: '', state: 'I', isPlain: false, values: new Map(), prepared: new Map(), pending: [] }
    let rest = ''
    socket.on('close', () => this.sockets.delete(socket))
    socket.on('error', () => socket.destroy())
    socket.on('data', chunk => {
      const lines = (rest + chunk.toString('latin1')).split('\r\n')
      rest = lines.pop()!
      for (const line of lines) this.take(connection, line)
    })
  }

  private take (connection: Connection, line: string): void {
    if (this.faults.isSilent === true) return
    const [word, first = '', ...rest] = line.split(' ')
    if (word === 'TERMINATE') return connection.socket.end() as unknown as void
    if (word === 'START') {
      connection.who = rest[0] ?? ''
      return this.start(connection, first, rest[1])
    }
    const text = rest.join(' ')
    this.heard.push(`${connection.number}|${first}|${text}`)
    if (first !== OWN) this.told.push(`${connection.who}|${text}`)
    const before = this.kept.length
    const body = this.bodyOf(connection, text)
    if (this.faults.breakOn !== undefined && text.startsWith(this.faults.breakOn)) {
      this.faults.breakOn = undefined
      connection.socket.resetAndDestroy()
      return
    }
    if (this.faults.loseAnswerTo !== undefined && text.startsWith(this.faults.loseAnswerTo)) {
      this.faults.loseAnswerTo = undefined
      return
    }
    const ready = `${body}\r\nREADY ${connection.state} ${this.term}.${this.position}\r\n`
    if (this.replication === undefined || this.kept.length === before) return connection.socket.write(ready, 'latin1') as unknown as void
    this.replication.isReceived(this).then(isReceived => isReceived ? connection.socket.write(ready, 'latin1') : connection.socket.destroy())
  }

  private start (connection: Connection, service: string, id: string | undefined): void {
    if (this.faults.ignoresStarts === true) return
    const isMine = service === this.options.service && (id === undefined || id === this.id)
    if (isMine) connection.socket.write(`READY I ${this.term}.${this.position}\r\n`)
    else connection.socket.end(`ERROR MISROUTED ${this.id}\r\n`)
  }

  private bodyOf (connection: Connection, text: string): string {
    const [after, statement] = this.cutAfter(text)
    const [verb = '', ...args] = statement.split(' ')
    if (after) return 'ERROR LAGGING the log is short'
    if (connection.state === 'E' && verb !== 'ROLLBACK' && verb !== 'COMMIT') return 'ERROR MALFORMED the transaction failed'
    switch (verb) {
      case 'SET':
        connection.values.set(args[0]!, args[1]!)
        return 'COMPLETE -'
      case 'PREPARE':
        connection.prepared.set(args[0]!, `${args[1]} ${args[2]}`)
        return 'COMPLETE -'
      case 'RESET':
        connection.values.clear()
        connection.prepared.clear()
        return 'COMPLETE -'
      case 'STATUS': case 'PAUSE': case 'RESUME': return this.status(verb, Number(args[0]))
      case 'BEGIN': return this.begin(connection, args[0])
      case 'ROLLBACK':
        connection.state = 'I'
        connection.pending = []
        return 'COMPLETE -'
      case 'EXECUTE':
        return connection.prepared.has(args[0]!) ? this.run(connection, connection.prepared.get(args[0]!)!, args.slice(1)) : this.fail(connection, 'NOSUCHSTMT')
      default: return this.run(connection, verb, args)
    }
  }

  private status (verb: string, term: number): string {
    const { faults } = this
    if (faults.busyStatuses !== undefined && faults.busyStatuses > 0) {
      faults.busyStatuses--
      return `ERROR BUSY ${this.id}`
    }
    if (verb === 'PAUSE' && term > this.term && !this.isPrimary) this.pausedBy = term
    if (verb === 'RESUME') this.pausedBy = 0
    return `DATAROW ${this.isPrimary ? 'primary' : 'replica'} ${this.term} ${this.term}.${this.position} ${this.pausedBy} 0 0 1\r\nCOMPLETE -`
  }

  /** Whether the log lacks the position that goes before the statement, and the statement alone. */
  private cutAfter (text: string): readonly [boolean, string] {
    const match = /^AFTER (\d+)\.(\d+) (.*)$/.exec(text)
    if (match === null) return [false, text]
    const [, term, position, statement] = match
    const isShort = Number(term) > this.term || (Number(term) === this.term && Number(position) > this.position)
    return [isShort, statement!]
  }

  private begin (connection: Connection, mode: string | undefined): string {
    if (mode === undefined && !this.isPrimary) return `ERROR READONLY ${this.id}`
    connection.state = 'T'
    connection.isPlain = mode === undefined
    return 'COMPLETE -'
  }

  private run (connection: Connection, verb: string, args: readonly string[]): string {
    if (this.faults.refuseWith !== undefined) return this.fail(connection, this.faults.refuseWith)
    const isWrite = verb.startsWith('WRITE')
    const isGuarded = isWrite || (connection.state === 'T' && connection.isPlain)
    if (isGuarded && !this.isPrimary) return this.fail(connection, 'READONLY')
    const values = [...connection.values].map(([name, value]) => `${name}=${value}`).join(',')
    this.ran.push(`${[verb, ...args].join(' ')} {${values}}`)
    if (isWrite) this.position++
    if (isWrite && connection.state === 'T') connection.pending.push(args.join(' '))
    else if (isWrite) this.kept.push(args.join(' '))
    if (verb === 'COMMIT') this.commit(connection)
    const rows = isWrite || verb === 'COMMIT' ? '' : `DATAROW row-of-${args[0]}\r\n`
    return `${rows}COMPLETE proof.${this.id}`
  }

  private commit (connection: Connection): void {
    if (connection.state === 'T') this.kept.push(...connection.pending)
    connection.pending = []
    connection.state = 'I'
  }

  private fail (connection: Connection, word: string): string {
    if (connection.state === 'T') connection.state = 'E'
    return `ERROR ${word} ${this.id}`
  }
}
