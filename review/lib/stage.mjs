/**
 * Small stand-ins for the platform of the users' pages: the row store with its feed and objects (PROTOCOL.md, "The platform's metadata
 * store"), the promotion call ("Singleton duties"), a replicated database service ("Servers") and requesters ("Requesters"), all in the
 * process of a script. The hosts are the project's own program in processes of their own, started with the command of the deploy file.
 */

import { spawn } from 'node:child_process'
import { createHash, randomBytes } from 'node:crypto'
import { appendFileSync, existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer as createHttpServer } from 'node:http'
import { connect, createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const LOCAL = '127.0.0.1'
const METRICS_PORT = 9464
const OWN = '-'
const FIRST_PORT = 12_000
const PORTS = 18_000

export const pause = ms => new Promise(resolve => setTimeout(resolve, ms))

/** Whether the disruption is on. */
export const isTroubled = process.env.TROUBLE !== '0'

/** Writes lines with the seconds since the start, to a file and, for the main ones, to the screen. */
export class Record {
  constructor (file) {
    this.file = file
    this.began = performance.now()
    this.lines = []
    writeFileSync(file, '')
  }

  get seconds () {
    return (performance.now() - this.began) / 1000
  }

  note (text) {
    this.lines.push(`${this.seconds.toFixed(3).padStart(8)} ${text}\n`)
    if (this.lines.length >= 200) this.flush()
  }

  tell (text) {
    this.note(text)
    console.log(`${this.seconds.toFixed(3).padStart(8)} ${text}`)
  }

  flush () {
    appendFileSync(this.file, this.lines.join(''))
    this.lines = []
  }
}

async function listenOn (server, ip = LOCAL, port = 0) {
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, ip, () => {
      server.off('error', reject)
      resolve()
    })
  })
  return server.address().port
}

/**
 * Listens on a port below the range that the system hands out, so that no connection takes the port while its server is down, and a dial to
 * a server that is down can't meet itself.
 */
async function listenBelow (server, ip = LOCAL) {
  for (let i = 0; i < 200; i++) {
    const port = await listenOn(server, ip, FIRST_PORT + Math.floor(Math.random() * PORTS)).catch(() => undefined)
    if (port !== undefined) return port
  }
  throw new Error('no free port')
}

async function isFree (ip, port) {
  const server = createServer()
  const got = await listenOn(server, ip, port).catch(() => undefined)
  if (got !== undefined) await new Promise(resolve => server.close(resolve))
  return got !== undefined
}

/** A loopback address whose metrics port nobody uses, since that port is fixed. */
async function freeAddress (taken) {
  for (let i = 0; i < 200; i++) {
    const ip = `127.0.${60 + Math.floor(Math.random() * 150)}.${2 + Math.floor(Math.random() * 250)}`
    if (!taken.has(ip) && await isFree(ip, METRICS_PORT)) return ip
  }
  throw new Error('no free loopback address')
}

async function freePorts (ip, count) {
  const servers = []
  const ports = []
  for (let i = 0; i < count; i++) {
    const server = createServer()
    ports.push(await listenBelow(server, ip))
    servers.push(server)
  }
  await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))))
  return ports
}

async function bodyOf (req) {
  const chunks = []
  for await (const chunk of req) chunks.push(chunk)
  return Buffer.concat(chunks)
}

function reply (res, status, body) {
  res.writeHead(status, { 'Content-Type': 'application/json' })
  res.end(JSON.stringify(body))
}

/** Rows with versions, a feed, transactions under preconditions, and objects. Answers after the time that the site gives. */
export class Store {
  constructor () {
    this.rows = new Map()
    this.objects = new Map()
    this.version = 0
    this.waiting = new Set()
    this.answerMs = 4
    /** Told of each transaction that was done, as { puts, deletes }. */
    this.onChange = () => undefined
    this.http = createHttpServer((req, res) => this.handle(req, res).catch(() => res.destroy()))
    this.began = performance.now()
  }

  async start () {
    this.port = await listenBelow(this.http)
  }

  stop () {
    this.http.closeAllConnections()
    this.http.close()
  }

  put (table, key, value) {
    const id = `${table}/${key}`
    const encoded = value === undefined ? undefined : Buffer.from(value).toString('base64')
    if (this.rows.get(id)?.value === encoded) return
    this.rows.set(id, { table, part: '', key, value: encoded, ver: ++this.version })
    for (const wake of [...this.waiting]) wake()
  }

  get nowMs () {
    return Math.round(performance.now() - this.began)
  }

  async handle (req, res) {
    const url = new URL(req.url, 'http://store')
    const body = await bodyOf(req)
    await pause(this.answerMs)
    if (url.pathname.startsWith('/blob-')) return this.blob(req, res, url, body)
    switch (url.pathname) {
      case '/rows-get': return reply(res, 200, { rows: this.select(url, 0).filter(({ value }) => value !== undefined).sort((a, b) => a.key < b.key ? -1 : 1), hasMore: false, ver: this.version, nowMs: this.nowMs })
      case '/rows-feed': return await this.feed(req, res, url)
      case '/rows-tx': return this.transact(res, JSON.parse(body.toString()))
      default: return reply(res, 404, {})
    }
  }

  select (url, after) {
    const [table, from, target] = ['table', 'from', 'target'].map(name => url.searchParams.get(name))
    return [...this.rows.values()]
      .filter(row => row.table === table && row.ver > after && row.key >= (from ?? '') && (target === null || row.key < target))
      .sort((a, b) => a.ver - b.ver)
  }

  async feed (req, res, url) {
    const after = Number(url.searchParams.get('after'))
    const until = performance.now() + Number(url.searchParams.get('waitMs'))
    while (!res.destroyed && this.select(url, after).length === 0 && performance.now() < until) await this.changed(until - performance.now())
    if (res.destroyed) return
    reply(res, 200, { rows: this.select(url, after).map(row => row.value === undefined ? { ...row, deleted: true } : row), ver: this.version, nowMs: this.nowMs })
  }

  async changed (ms) {
    await new Promise(resolve => {
      const done = () => {
        clearTimeout(timer)
        this.waiting.delete(done)
        resolve()
      }
      const timer = setTimeout(done, Math.min(ms, 1000))
      this.waiting.add(done)
    })
  }

  transact (res, { precondition = [], puts = [], deletes = [] }) {
    const isMet = precondition.every(({ table, key, ver }) => {
      const row = this.rows.get(`${table}/${key}`)
      return (row?.value === undefined ? 0 : row.ver) === ver
    })
    if (!isMet) return reply(res, 412, { rows: [], ver: this.version, nowMs: this.nowMs })
    const ver = ++this.version
    for (const { table, key, value } of puts) this.rows.set(`${table}/${key}`, { table, part: '', key, value, ver })
    for (const { table, key } of deletes) this.rows.set(`${table}/${key}`, { table, part: '', key, value: undefined, ver })
    for (const wake of [...this.waiting]) wake()
    this.onChange({ puts: puts.map(row => ({ ...row, value: Buffer.from(row.value, 'base64').toString() })), deletes, ver })
    reply(res, 200, { ver, nowMs: this.nowMs })
  }

  blob (req, res, url, body) {
    const id = decodeURIComponent(url.pathname.split('/')[2] ?? '')
    switch (url.pathname.split('/')[1]) {
      case 'blob-put':
        this.objects.set(id, body)
        return reply(res, 200, {})
      case 'blob-get': return this.objects.has(id) ? res.end(this.objects.get(id)) : reply(res, 404, {})
      case 'blob-drop': return reply(res, this.objects.delete(id) ? 200 : 404, {})
      default: return reply(res, 200, { names: [...this.objects.keys()].filter(name => name.startsWith(url.searchParams.get('prefix') ?? '')).sort(), hasMore: false })
    }
  }
}

/** The promotion call. Checks fences, and names the primary some time later. */
export class CloudApi {
  constructor (record) {
    this.record = record
    this.services = new Map()
    this.fences = new Map()
    /** Leaves orders without an answer when set, and carries each out this many milliseconds later; its fence is checked then. */
    this.lateMs = undefined
    this.http = createHttpServer((req, res) => this.handle(req, res).catch(() => res.destroy()))
  }

  async start () {
    this.port = await listenBelow(this.http)
  }

  stop () {
    this.http.closeAllConnections()
    this.http.close()
  }

  async handle (req, res) {
    const { service, id } = JSON.parse((await bodyOf(req)).toString())
    const [holder, fence] = [String(req.headers['x-lease-holder']), Number(req.headers['x-fencing-token'])]
    const { lateMs } = this
    if (lateMs !== undefined) {
      const ms = lateMs()
      this.record.tell(`promote ${id} by ${holder} with fence ${fence}: no answer, carried out ${ms.toFixed(0)} ms later`)
      setTimeout(() => this.record.tell(`late order to promote ${id} with fence ${fence}: ${this.statusOf(service, id, fence)}`), ms).unref()
      return
    }
    const status = this.statusOf(service, id, fence)
    this.record.tell(`promote ${id} by ${holder} with fence ${fence}: ${status}`)
    reply(res, status, {})
  }

  statusOf (service, id, fence) {
    if (fence < (this.fences.get(service) ?? 0)) return 409
    this.fences.set(service, fence)
    return this.services.get(service).promote(id) ? 200 : 409
  }
}

/** One database service: a primary, its replicas, and what they copy from each other. */
export class Service {
  constructor ({ name, store, record, zones, syncReplicas = 0, promoteMs = 1000, maxConns = 16, slots = 2, connectMs = 12, workMs = 9, lagMs = 20 }) {
    Object.assign(this, { name, store, record, syncReplicas, promoteMs, maxConns, slots, connectMs, workMs, lagMs })
    this.term = 1
    this.servers = zones.map((zone, i) => new Server(this, `i-${randomBytes(4).toString('hex')}`, zone, i === 0))
    this.primary = this.servers[0]
    /** Told when a server begins to lead. */
    this.onPromoted = () => undefined
  }

  async start () {
    for (const server of this.servers) await server.start()
  }

  /** Whether the order is taken; the server leads after a while, with what it has received by then. */
  promote (id) {
    const next = this.servers.find(server => server.id === id)
    if (next === undefined || !next.isUp) return false
    if (next === this.primary) return true
    setTimeout(() => this.lead(next), this.promoteMs)
    return true
  }

  lead (next) {
    if (next === this.primary || !next.isUp) return
    const old = this.primary
    this.term++
    this.primary = next
    this.record.tell(`${next.id} leads term ${this.term} with ${next.log.length} commits; the old primary ${old.id} has ${old.log.length}, the others ${this.servers.filter(one => one !== next && one !== old).map(one => `${one.id} ${one.log.length}`).join(', ')}`)
    this.onPromoted(next)
    for (const server of this.servers) {
      server.pausedBy = 0
      server.applied = Math.min(server.applied, server.log.length)
      if (server !== next) server.cutTo(next.log)
    }
    next.applied = next.log.length
    for (const server of this.servers) server.announce()
  }

  /** Replicas fetch what they lack. */
  copy () {
    for (const server of this.servers) setTimeout(() => server.receive(), 2)
  }

  stop () {
    for (const server of this.servers) server.stop()
  }
}

/** One server on the wire protocol, with slots, a queue in order of arrival, a log, and its entry in the store. */
class Server {
  constructor (service, id, zone, isPrimary) {
    Object.assign(this, { service, id, zone })
    this.secret = randomBytes(8).toString('hex')
    this.isUp = false
    this.isDraining = false
    this.isDeaf = false
    this.slowX = 1
    this.pausedBy = 0
    /** Received commits, each { term, writes: [{ id, item, data }] }. */
    this.log = []
    this.applied = 0
    this.sockets = new Set()
    this.free = service.slots
    this.queue = []
    this.waiters = new Set()
    /** Statements of requesters that reached it, as { id, text, at }. */
    this.arrivals = []
    this.tcp = createServer(socket => this.accept(socket))
    this.wasPrimary = isPrimary
  }

  get isPrimary () {
    return this.service.primary === this
  }

  get position () {
    const last = this.log[this.applied - 1]
    return `${last?.term ?? 1}.${this.applied}`
  }

  async start () {
    this.port = await listenBelow(this.tcp)
    this.isUp = true
    this.announce()
  }

  announce () {
    if (!this.isUp) return
    const { service: { name, slots, store }, zone, port } = this
    store.put('servers', this.id, JSON.stringify({ service: name, address: `${LOCAL}:${port}`, zone, version: 'v1', capacity: slots, state: this.isDraining ? 'draining' : 'ready', coldLeftMs: 0, dbRole: this.isPrimary ? 'primary' : 'replica', sequence: 1 }))
  }

  drain () {
    this.isDraining = true
    this.announce()
  }

  /** Ends it at once; its entry goes after three heartbeats of silence. */
  crash () {
    this.stop()
    setTimeout(() => { if (!this.isUp) this.service.store.put('servers', this.id, undefined) }, 3600).unref()
  }

  /** Comes back with its log at its address, and follows if another leads by then. */
  async restart () {
    const { port } = this
    this.tcp = createServer(socket => this.accept(socket))
    Object.assign(this, { free: this.service.slots, queue: [], pausedBy: 0 })
    this.port = await listenOn(this.tcp, LOCAL, port)
    this.isUp = true
    if (!this.isPrimary) this.cutTo(this.service.primary.log)
    this.announce()
  }

  /** Ends in order: its entry goes with it. */
  leave () {
    this.stop()
    this.service.store.put('servers', this.id, undefined)
  }

  stop () {
    this.isUp = false
    this.tcp.close()
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  accept (socket) {
    const connection = { socket, isSignedIn: false, state: 'I', isPlain: false, values: new Map(), prepared: new Map(), pending: [], busy: Promise.resolve() }
    this.sockets.add(socket)
    socket.setNoDelay(true)
    let rest = ''
    socket.on('error', () => undefined)
    socket.on('close', () => {
      this.sockets.delete(socket)
      connection.isClosed = true
      connection.pending = []
    })
    socket.on('data', chunk => {
      const lines = (rest + chunk.toString('latin1')).split('\r\n')
      rest = lines.pop()
      for (const line of lines) connection.busy = connection.busy.then(() => this.take(connection, line))
    })
  }

  /** Holds a slot for the time; in order of arrival. */
  async work (ms) {
    if (this.free > 0) this.free--
    else await new Promise(resolve => this.queue.push(resolve))
    await pause(ms * this.slowX)
    const next = this.queue.shift()
    if (next === undefined) this.free++
    else next()
  }

  async take (connection, line) {
    const { socket } = connection
    if (connection.isClosed || !this.isUp) return
    const [word, first, ...rest] = line.split(' ')
    if (word === 'TERMINATE') return socket.end()
    if (word === 'START') return await this.signIn(connection, first, rest[1])
    const text = rest.join(' ')
    if (first !== OWN) {
      this.arrivals.push({ id: first, text, at: performance.now() })
      this.service.record.note(`${this.id} ${this.isPrimary ? 'primary' : 'replica'} hears ${first} ${text}`)
    }
    const body = await this.run(connection, first, text)
    if (connection.isClosed || !this.isUp) return
    socket.write(`${body}READY ${connection.state} ${this.position}\r\n`, 'latin1')
  }

  async signIn (connection, name, id) {
    const { socket } = connection
    if (this.sockets.size > this.service.maxConns) return socket.end('ERROR CONNLIMIT too many connections\r\n')
    if (name !== this.service.name || (id !== undefined && id !== this.id)) return socket.end(`ERROR MISROUTED ${this.id}\r\n`)
    await this.work(this.service.connectMs)
    if (!connection.isClosed && this.isUp) socket.write(`READY I ${this.position}\r\n`)
  }

  mac (id, text, rows) {
    return createHash('sha256').update(`${this.secret}|${id}|${text}|${rows}`).digest('hex').slice(0, 16)
  }

  async run (connection, id, whole) {
    const { after, text } = cutAfter(whole)
    const [verb, ...args] = text.split(' ')
    const done = (rows = '') => `${rows}COMPLETE ${id === OWN ? '-' : `${this.id}.${this.mac(id, text, rows)}`}\r\n`
    const fail = (word, why = this.id) => {
      if (connection.state === 'T') connection.state = 'E'
      return `ERROR ${word} ${why}\r\n`
    }
    if (connection.state === 'E' && !['ROLLBACK', 'COMMIT'].includes(verb)) return 'ERROR MALFORMED the transaction failed\r\n'
    if (after !== undefined && this.applied < after) return fail('LAGGING')
    switch (verb) {
      case 'SET':
        connection.values.set(args[0], args.slice(1).join(' '))
        return done()
      case 'PREPARE':
        connection.prepared.set(args[0], { verb: args[1], shape: args[2] })
        return done()
      case 'RESET':
        connection.values.clear()
        connection.prepared.clear()
        return done()
      case 'BEGIN':
        if (args[0] !== 'READ' && !this.isPrimary) return fail('READONLY')
        Object.assign(connection, { state: 'T', isPlain: args[0] !== 'READ', pending: [] })
        return done()
      case 'ROLLBACK':
        Object.assign(connection, { state: 'I', pending: [] })
        return done()
      case 'STATUS': case 'PAUSE': case 'RESUME': case 'STEPDOWN': return await this.status(verb, Number(args[0]), done)
      case 'EXECUTE': {
        const prepared = connection.prepared.get(args[0])
        return prepared === undefined ? fail('NOSUCHSTMT') : await this.access(connection, prepared.verb, args.slice(1), id, done, fail)
      }
      case 'READ': case 'WRITE': return await this.access(connection, verb, args, id, done, fail)
      case 'COMMIT': return await this.commit(connection, done, fail)
      default: return fail('MALFORMED')
    }
  }

  async status (verb, term, done) {
    await this.work(0.5)
    if (verb === 'PAUSE' && term > this.service.term && !this.isPrimary) this.pausedBy = term
    if (verb === 'RESUME') {
      this.pausedBy = 0
      this.service.copy()
    }
    const last = this.log.at(-1)
    return done(`DATAROW ${this.isPrimary ? 'primary' : 'replica'} ${this.service.term} ${last?.term ?? 1}.${this.log.length} ${this.pausedBy} 0 ${this.service.slots - this.free} ${this.sockets.size}\r\n`)
  }

  async access (connection, verb, args, id, done, fail) {
    const mustLead = verb === 'WRITE' || (connection.state === 'T' && connection.isPlain)
    if (mustLead && !this.isPrimary) return fail('READONLY')
    await this.work(this.service.workMs)
    if (connection.isClosed || !this.isUp) return ''
    if (mustLead && !this.isPrimary) return fail('READONLY')
    if (verb === 'READ') return done(`DATAROW row-of-${args[0]}\r\n`)
    const write = { id, item: args[0], data: args.slice(1).join(' ') }
    if (connection.state === 'T') connection.pending.push(write)
    else if (!await this.append([write])) return ''
    return done()
  }

  async commit (connection, done, fail) {
    if (connection.state === 'I') return fail('MALFORMED')
    if (connection.state === 'E') {
      connection.state = 'I'
      return 'ERROR ABORTED rolled back\r\n'
    }
    const { pending } = connection
    await this.work(this.service.workMs)
    if (connection.isClosed || !this.isUp) return ''
    if (pending.length > 0 && !this.isPrimary) return fail('READONLY')
    Object.assign(connection, { state: 'I', pending: [] })
    if (pending.length > 0 && !await this.append(pending)) return ''
    return done()
  }

  /** Appends a commit; false if this server ended, or lost the lead, before the commit may be acknowledged. */
  async append (writes) {
    const { service } = this
    this.log.push({ term: service.term, writes })
    this.applied = this.log.length
    const needed = this.log.length
    service.copy()
    while (service.syncReplicas > 0 && this.isUp && this.isPrimary && !service.servers.some(one => one !== this && one.log.length >= needed)) await pause(1)
    return this.isUp && (service.syncReplicas === 0 || this.isPrimary)
  }

  /** Receives what the primary has and this replica lacks, and applies it later. */
  receive () {
    const { primary } = this.service
    if (this.isPrimary || this.isDeaf || this.pausedBy > 0 || !this.isUp || !primary.isUp) return
    if (this.log.length >= primary.log.length) return
    this.log.push(...primary.log.slice(this.log.length))
    const upTo = this.log.length
    setTimeout(() => { this.applied = Math.max(this.applied, Math.min(upTo, this.log.length)) }, this.service.lagMs)
  }

  /** Drops what the new primary doesn't have. */
  cutTo (log) {
    const other = this.log.findIndex((commit, i) => commit !== log[i])
    if (other >= 0) this.log.length = other
    this.applied = Math.min(this.applied, this.log.length)
    this.receive()
  }
}

function cutAfter (text) {
  const match = /^AFTER \d+\.(\d+) (.*)$/s.exec(text)
  return match === null ? { after: undefined, text } : { after: Number(match[1]), text: match[2] }
}

/** One session of a requester. */
export class Caller {
  constructor (address, database, who = 'u1') {
    this.rest = ''
    this.lines = []
    this.isEnded = false
    this.socket = connect(address.port, address.ip)
    this.socket.setNoDelay(true)
    this.socket.on('data', chunk => {
      const parts = (this.rest + chunk.toString('latin1')).split('\r\n')
      this.rest = parts.pop()
      this.lines.push(...parts)
      this.wake?.()
    })
    const end = () => {
      this.isEnded = true
      this.wake?.()
    }
    this.socket.on('error', end).on('close', end).on('end', end)
    this.socket.write(`START ${database} ${who}\r\n`)
  }

  /** The lines of one answer; the last is READY, or `closed`, or `silent` after the time. */
  async answer (withinMs = 10_000) {
    const taken = []
    const until = performance.now() + withinMs
    for (;;) {
      const line = this.lines.shift()
      if (line !== undefined) {
        taken.push(line)
        if (line.startsWith('READY ')) return taken
        continue
      }
      if (this.isEnded) return [...taken, 'closed']
      const leftMs = until - performance.now()
      if (leftMs <= 0) return [...taken, 'silent']
      await new Promise(resolve => {
        const timer = setTimeout(resolve, leftMs)
        this.wake = () => {
          clearTimeout(timer)
          resolve()
        }
      })
    }
  }

  async ask (id, text, withinMs) {
    this.socket.write(`QUERY ${id} ${text}\r\n`, 'latin1')
    return await this.answer(withinMs)
  }

  leave () {
    if (!this.isEnded) this.socket.end('TERMINATE\r\n')
  }
}

export const newId = () => randomBytes(8).toString('hex')

/** What an answer says: `done` with the server's proof, or the word of its error, or how it ended. */
export function outcomeOf (lines) {
  const complete = lines.find(line => line.startsWith('COMPLETE '))
  if (complete !== undefined && lines.at(-1).startsWith('READY ')) return 'done'
  const error = lines.find(line => line.startsWith('ERROR '))
  return error === undefined ? lines.at(-1) : error.split(' ')[1]
}

/** The hosts: one process each of the program that the build made. */
export class Hosts {
  constructor (record) {
    this.record = record
    this.folder = mkdtempSync(join(tmpdir(), 'review-'))
    this.all = []
  }

  /** `zones`: one host in each. */
  async start ({ zones, store, cloud, bounds = {}, bootstrap = true }) {
    const taken = new Set()
    for (const [i, zone] of zones.entries()) {
      const ip = await freeAddress(taken)
      taken.add(ip)
      const [front, ready, control, first] = await this.portsOf(ip)
      this.all.push({ name: `front-${zone}-${i + 1}`, zone, ip, front: { ip, port: front }, ready: { ip, port: ready }, control, first, starts: 0, ends: [] })
    }
    const regions = [...new Set(zones)].map(zone => `${zone} = "region-1"`).join('\n')
    for (const host of this.all) {
      host.file = join(this.folder, `${host.name}.toml`)
      writeFileSync(host.file, this.settingsOf(host, { store, cloud, bounds, bootstrap, regions }))
      this.run(host)
    }
    await this.untilReady(this.all)
    // Only the first start of the whole system is told to be the first.
    for (const host of this.all) writeFileSync(host.file, this.settingsOf(host, { store, cloud, bounds, bootstrap: false, regions }))
    this.record.tell(`${this.all.length} hosts are ready`)
  }

  /** Four ports, the last followed by a free one. */
  async portsOf (ip) {
    for (let i = 0; i < 50; i++) {
      const ports = await freePorts(ip, 4)
      if (ports[3] < 65_000 && !ports.includes(ports[3] + 1) && await isFree(ip, ports[3] + 1)) return ports
    }
    throw new Error('no free ports')
  }

  settingsOf ({ name, zone, ip, front, ready, control, first }, { store, cloud, bounds, bootstrap, regions }) {
    const limits = { configApplyMs: 3000, drainMs: 7000, graceS: 6, requireFencing: true, ...bounds }
    return `nodeName = "${name}"
role = "proxy"
machineClass = "front"
serves = ["front", "control"]
ip = "${ip}"
zone = "${zone}"
region = "region-1"
internalPortRange = [${first}, ${first + 1}]
seedNodes = [${this.all.slice(0, 3).map(one => `"${one.ip}:${one.control}"`).join(', ')}]
bootstrap = ${bootstrap}
heartbeatMs = 1200
[zones]
${regions}
[listenAddrs]
front = "${ip}:${front.port}"
ready = "${ip}:${ready.port}"
control = "${ip}:${control}"
[limits]
cpuShare = 0.675
cores = 1
memoryMb = 350
[bounds]
${Object.entries(limits).map(([key, value]) => `${key} = ${value}`).join('\n')}
[platform]
address = "${LOCAL}:${store.port}"
historyS = 20
[cloudApi]
address = "${LOCAL}:${cloud.port}"
`
  }

  /** Starts the process with the command of the deploy file. A process that ends by itself is started again, as the platform does. */
  run (host) {
    const [, command] = /^run = "(.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))
    const [, ...args] = command.split(' ')
    const child = spawn(process.execPath, args, { env: { PATH: process.env.PATH, HOME: this.folder, AGATEPOND_CONFIG: host.file }, stdio: ['ignore', 'pipe', 'pipe'] })
    host.child = child
    host.starts++
    host.log = join(this.folder, `${host.name}.log`)
    for (const stream of [child.stdout, child.stderr]) stream.on('data', chunk => appendFileSync(host.log, chunk))
    child.on('exit', (code, signal) => {
      if (host.child !== child || this.isStopped) return
      host.ends.push({ code, signal, at: this.record.seconds })
      this.record.tell(`${host.name}: its process ended, code ${code}, signal ${signal}`)
      if (host.isKeptUp !== false) setTimeout(() => { if (!this.isStopped) this.run(host) }, 300)
    })
  }

  async isReady ({ ready }) {
    const res = await fetch(`http://${ready.ip}:${ready.port}/ready`, { signal: AbortSignal.timeout(1000) }).catch(() => undefined)
    return res?.status === 200
  }

  async untilReady (hosts, withinMs = 20_000) {
    const until = performance.now() + withinMs
    for (;;) {
      const states = await Promise.all(hosts.map(async host => await this.isReady(host)))
      if (states.every(isOne => isOne)) return
      if (performance.now() > until) throw new Error('the hosts are not ready')
      await pause(100)
    }
  }

  /** Lines of the hosts' logs that hold one of the events, oldest first. */
  logged (...events) {
    return this.all.filter(({ log }) => log !== undefined && existsSync(log)).flatMap(({ log }) => readFileSync(log, 'utf8').split('\n'))
      .filter(line => events.some(event => line.includes(`"event":${event},`))).sort((a, b) => timeOf(a) < timeOf(b) ? -1 : 1)
  }

  async stop () {
    this.isStopped = true
    for (const { child } of this.all) child?.kill('SIGKILL')
    await pause(200)
    rmSync(this.folder, { recursive: true, force: true })
  }
}

const timeOf = line => /"time":"([^"]+)"/.exec(line)?.[1] ?? ''

/** The operator's manifest with three routes over one service, as the site's. */
export function manifestOf ({ version = 1, service, syncReplicas = 0, maxConns = 16, statementMs = 800 }) {
  const route = { prefix: '/', service, attempts: 2 }
  return JSON.stringify({
    version,
    routes: [
      { ...route, name: 'r1', host: 'crimp', routeType: 'primary', timeoutMs: statementMs, targetLatencyMs: 100, priority: 1 },
      { ...route, name: 'r2', host: 'bom', routeType: 'bounded_staleness', timeoutMs: 1200, targetLatencyMs: 300, priority: 2, maxStalenessMs: 1500 },
      { ...route, name: 'r3', host: 'kit', routeType: 'read_your_writes', timeoutMs: statementMs, targetLatencyMs: 200, priority: 2, maxStalenessMs: 2500 }
    ],
    services: [{ name: service, healthPath: '/health', maxConns, protocol: 'h1', tls: false, syncReplicas }],
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 262144, headerTimeoutMs: 3000, idleTimeoutMs: 15000, txIdleMs: 3000 }
  })
}

/** Runs the case and ends the process with its verdict: 0 the rule held, 1 it was broken, 2 the case could not run. */
export async function runCase (play) {
  const record = new Record(process.argv[2])
  const store = new Store()
  const cloud = new CloudApi(record)
  const hosts = new Hosts(record)
  const limit = setTimeout(() => {
    record.tell('the case took too long')
    end(2)
  }, 115_000)
  const end = async code => {
    clearTimeout(limit)
    record.flush()
    await hosts.stop()
    store.stop()
    cloud.stop()
    process.exit(code)
  }
  process.once('SIGINT', () => end(2)).once('SIGTERM', () => end(2))
  try {
    await store.start()
    await cloud.start()
    const isBroken = await play({ record, store, cloud, hosts })
    record.tell(isBroken ? 'BROKEN' : 'held')
    await end(isBroken ? 1 : 0)
  } catch (error) {
    record.tell(`could not run: ${error.stack}`)
    await end(2)
  }
}
