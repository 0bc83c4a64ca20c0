/**
 * A small stand-in for one service, as PROTOCOL.md has it: one primary and its replicas, with a log each. A commit is acknowledged once
 * as many replicas as `syncReplicas` says have received it. A promotion takes effect some time after the call: the named server then leads
 * the next term with what it has received, and nothing more.
 */

import { createServer } from 'node:net'
import { HEARTBEAT_MS } from './store.mjs'

/** Statements that a server works on at a time, and those that may wait for that. */
const SLOTS = 2
const QUEUE = 16
const MAX_CONNECTIONS = 30
/** A new connection, and a statement, hold a slot for so long. */
const OPENING_MS = 27
const WORK_MS = 3

export class Database {
  /** Servers by id. */
  servers = new Map()
  /** What was promoted: the server, the time, and its log at that moment. */
  promotions = []
  /** When a primary acknowledged which commit. */
  acknowledgedAt = new Map()
  isStopped = false

  /** `servers`: for each its id, zone, port, and the way to it in ms, as a replica. The first leads. */
  static async start ({ service, ip, servers, syncReplicas, promoteMs, store, note }) {
    const database = new Database()
    Object.assign(database, { service, ip, syncReplicas, promoteMs, store, note })
    for (const [i, one] of servers.entries()) {
      const server = new Server(database, { ...one, isPrimary: i === 0 })
      database.servers.set(one.id, server)
      await server.listen()
    }
    store.onPromote = id => database.promote(id)
    return database
  }

  /** Ends a server that has drained, or one that crashes, which tells nobody; some time later a new one starts at its address, with its log. */
  async replace (id, newId, afterMs, { isCrash = false } = {}) {
    const old = this.servers.get(id)
    old.stop()
    this.servers.delete(id)
    if (!isCrash) this.store.leave(id)
    this.note(`database: ${id} has ended`)
    await new Promise(resolve => setTimeout(resolve, afterMs))
    const { zone, port, lagMs } = old
    const next = new Server(this, { id: newId, zone, port, lagMs, isPrimary: false })
    next.term = old.term
    next.log = old.log.slice()
    this.servers.set(newId, next)
    await next.listen()
    this.note(`database: ${newId} has started at the address of ${id}`)
    // It receives what it lacks as soon as it is there.
    const { primary } = this
    await next.receive(primary, primary.term, primary.log.length)
  }

  /** Starts a new replica, which receives what it lacks as soon as it is there. */
  async add ({ id, zone, port, lagMs }) {
    const { primary } = this
    const next = new Server(this, { id, zone, port, lagMs, isPrimary: false })
    next.term = primary.term
    next.log = primary.log.slice()
    this.servers.set(id, next)
    await next.listen()
    this.note(`database: ${id} has started`)
    await next.receive(primary, primary.term, primary.log.length)
  }

  get primary () {
    return [...this.servers.values()].find(({ isPrimary }) => isPrimary)
  }

  stop () {
    this.isStopped = true
    for (const server of this.servers.values()) server.stop()
  }

  /** The answer to the call. */
  promote (id) {
    const next = this.servers.get(id)
    if (next === undefined || next.isDark) return 409
    if (next.isPrimary) return 200
    setTimeout(() => this.#lead(next), this.promoteMs)
    return 200
  }

  #lead (next) {
    if (this.isStopped || next.isPrimary) return
    const old = this.primary
    const term = old.term + 1
    this.promotions.push({ id: next.id, at: performance.now(), log: new Set(next.log.map(({ data }) => data)) })
    this.note(`database: ${next.id} leads term ${term} with ${next.log.length} commits; ${old.id} had ${old.log.length}`)
    for (const server of this.servers.values()) server.follow(next, term)
  }
}

class Server {
  /** Commits: `term`, `data`. */
  log = []
  term = 1
  pausedBy = 0
  /** What its entry in the directory says: ready or draining. */
  state = 'ready'
  /** When it last reported to the directory. */
  beatAt = 0
  /** While set it doesn't reach the store. */
  isHeldBack = false
  /** While set it answers nothing, and the directory hears nothing of it. */
  isDark = false
  /** While set it receives nothing, and serves. */
  isDeaf = false
  isStopped = false
  /** Called with each line that it takes; used to time a disruption. */
  onLine = () => {}
  #sockets = new Set()
  #queue = []
  #busy = 0
  #waiting = []
  #sequence = 0
  #born = Date.now()

  constructor (database, { id, zone, port, lagMs, isPrimary }) {
    Object.assign(this, { database, id, zone, port, lagMs, isPrimary })
    this.server = createServer(socket => this.#accept(socket))
  }

  async listen () {
    await new Promise((resolve, reject) => this.server.once('error', reject).listen(this.port, this.database.ip, resolve))
    this.beat()
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS)
  }

  stop () {
    this.isStopped = true
    clearInterval(this.timer)
    for (const socket of this.#sockets) socket.destroy()
    this.server.close()
  }

  /** Reports to the directory; false if the store took nothing. */
  beat () {
    if (this.isDark || this.isHeldBack || this.isStopped) return false
    this.beatAt = performance.now()
    const { database: { service, ip, store }, zone, port, isPrimary } = this
    return store.beat(this.id, { service, address: `${ip}:${port}`, zone, version: 'v1', capacity: SLOTS, state: this.state, coldLeftMs: 0, dbRole: isPrimary ? 'primary' : 'replica', sequence: ++this.#sequence, born: this.#born })
  }

  /** The named server leads the term from now on. */
  follow (leader, term) {
    this.term = term
    this.pausedBy = 0
    this.isPrimary = leader === this
    if (!this.isPrimary) this.log = leader.log.slice()
    // Whoever waits for the acknowledgement of a commit that is rolled back learns nothing.
    for (const { socket } of [...this.#waiting]) socket.destroy()
    this.beat()
  }

  get position () {
    return `${this.term}.${this.log.length}`
  }

  #accept (socket) {
    if (this.isDark) return
    socket.on('error', () => socket.destroy())
    if (this.#sockets.size >= MAX_CONNECTIONS) return socket.end('ERROR CONNLIMIT too many connections\r\n')
    this.#sockets.add(socket)
    socket.on('close', () => this.#sockets.delete(socket))
    const connection = { socket, state: 'I', isPlain: false, pending: [], values: new Map(), prepared: new Map(), lines: [], isTaking: false }
    let rest = ''
    socket.on('data', async chunk => {
      const lines = (rest + chunk.toString('latin1')).split('\r\n')
      rest = lines.pop()
      connection.lines.push(...lines)
      if (connection.isTaking) return
      connection.isTaking = true
      while (connection.lines.length > 0) await this.#take(connection, connection.lines.shift())
      connection.isTaking = false
    })
  }

  async #take (connection, line) {
    if (this.isDark) return
    this.onLine(line)
    if (this.isDark) return
    const { socket } = connection
    const [word, first = '', ...rest] = line.split(' ')
    if (word === 'TERMINATE') return socket.end()
    if (word === 'START') {
      if (first !== this.database.service || (rest[1] !== undefined && rest[1] !== this.id)) return socket.end(`ERROR MISROUTED ${this.id}\r\n`)
      await this.#work(OPENING_MS)
      return socket.write(`READY I ${this.position}\r\n`)
    }
    const body = await this.#answer(connection, rest.join(' '))
    if (this.isDark || body === undefined) return
    socket.write(`${body}\r\nREADY ${connection.state} ${this.position}\r\n`, 'latin1')
  }

  /** Holds a slot; false when too many wait for one. */
  async #work (ms) {
    if (this.#busy >= SLOTS) {
      if (this.#queue.length >= QUEUE) return false
      await new Promise(resolve => this.#queue.push(resolve))
    }
    this.#busy++
    await new Promise(resolve => setTimeout(resolve, ms))
    this.#busy--
    this.#queue.shift()?.()
    return true
  }

  async #answer (connection, text) {
    const [isShort, statement] = this.#cutAfter(text)
    const [verb, ...args] = statement.split(' ')
    if (connection.state === 'E' && verb !== 'ROLLBACK') return 'ERROR MALFORMED the transaction failed'
    switch (verb) {
      case 'SET': return done(connection.values.set(args[0], args[1]))
      case 'PREPARE': return done(connection.prepared.set(args[0], args[1]))
      case 'RESET': return done(connection.values.clear(), connection.prepared.clear())
      case 'BEGIN': {
        if (isShort) return 'ERROR LAGGING the log is short'
        if (args[0] === undefined && !this.isPrimary) return `ERROR READONLY ${this.id}`
        return done(Object.assign(connection, { state: 'T', isPlain: args[0] === undefined, pending: [] }))
      }
      case 'ROLLBACK': return done(Object.assign(connection, { state: 'I', pending: [] }))
      case 'STATUS': case 'PAUSE': case 'RESUME': return await this.#status(verb, Number(args[0]))
      case 'STEPDOWN': return await this.#status(verb, 0)
    }
    if (!await this.#work(WORK_MS)) return this.#fail(connection, 'BUSY')
    if (isShort) return this.#fail(connection, 'LAGGING')
    const isExecute = verb === 'EXECUTE'
    if (isExecute && !connection.prepared.has(args[0])) return this.#fail(connection, 'NOSUCHSTMT')
    const isWrite = verb === 'WRITE' || (isExecute && connection.prepared.get(args[0]) === 'WRITE')
    if (!this.isPrimary && (isWrite || (connection.state === 'T' && connection.isPlain))) return this.#fail(connection, 'READONLY')
    if (verb === 'COMMIT') return await this.#commit(connection, connection.pending)
    if (!isWrite) return `DATAROW row\r\nCOMPLETE mac.${this.id}`
    const data = args.at(-1)
    if (connection.state !== 'T') return await this.#commit(connection, [data])
    connection.pending.push(data)
    return `COMPLETE mac.${this.id}`
  }

  async #commit (connection, pending) {
    Object.assign(connection, { state: 'I', pending: [] })
    for (const data of pending) await this.#append(connection, data)
    if (connection.socket.destroyed) return undefined
    for (const data of pending) this.#acknowledge(data)
    return `COMPLETE mac.${this.id}`
  }

  #acknowledge (data) {
    this.database.acknowledgedAt.set(data, performance.now())
    this.database.note(`acknowledged ${data} by ${this.id}`)
  }

  /** Resolves once enough replicas have received the commit, or its connection is gone. */
  async #append ({ socket }, data) {
    const { term, database: { servers, syncReplicas } } = this
    this.log.push({ term, data })
    this.database.note(`run ${data} at ${this.id}, term ${term}`)
    const entry = { socket, index: this.log.length }
    for (const replica of servers.values()) if (replica !== this) replica.receive(this, term, entry.index)
    if (syncReplicas === 0) return
    this.#waiting.push(entry)
    await new Promise(resolve => {
      entry.resolve = resolve
      socket.once('close', resolve)
    })
    socket.off('close', entry.resolve)
    this.#waiting = this.#waiting.filter(one => one !== entry)
  }

  /** Takes the log of the primary up to the index over the network, unless it doesn't receive; then it does once it may. */
  async receive (primary, term, index) {
    await new Promise(resolve => setTimeout(resolve, this.lagMs))
    while ((this.pausedBy > 0 || this.isDeaf || this.isDark || primary.isDark) && this.term === term && !this.isStopped) await new Promise(resolve => setTimeout(resolve, 5))
    if (this.term !== term || !primary.isPrimary || this.isStopped) return
    while (this.log.length < index) this.log.push(primary.log[this.log.length])
    primary.replicaReceived()
  }

  /** Acknowledges the commits that enough replicas have. */
  replicaReceived () {
    const { servers, syncReplicas } = this.database
    const replicas = [...servers.values()].filter(server => server !== this)
    for (const { index, resolve } of this.#waiting) if (replicas.filter(({ log }) => log.length >= index).length >= syncReplicas) resolve()
  }

  async #status (verb, term) {
    if (!await this.#work(WORK_MS)) return `ERROR BUSY ${this.id}`
    if (verb === 'PAUSE' && term > this.term && !this.isPrimary) this.pausedBy = term
    if (verb === 'RESUME') this.pausedBy = 0
    if (verb !== 'STATUS') this.database.note(`database: ${this.id} took ${verb}${verb === 'PAUSE' ? ` ${term}` : ''}`)
    return `DATAROW ${this.isPrimary ? 'primary' : 'replica'} ${this.term} ${this.position} ${this.pausedBy} 0 ${this.#busy} ${this.#sockets.size}\r\nCOMPLETE -`
  }

  /** Whether the log lacks the position that goes before the statement, and the statement alone. */
  #cutAfter (text) {
    const match = /^AFTER (\d+)\.(\d+) (.*)$/.exec(text)
    if (match === null) return [false, text]
    const [, term, number, statement] = match
    return [Number(term) > this.term || Number(number) > this.log.length, statement]
  }

  #fail (connection, word) {
    if (connection.state === 'T') connection.state = 'E'
    return `ERROR ${word} ${this.id}`
  }
}

function done () {
  return 'COMPLETE -'
}
