/**
 * A small stand-in for the platform's store and for its promotion call, as PROTOCOL.md has them: rows with versions, transactions,
 * a feed, raw objects, and fences that are checked. Entries of servers expire after three heartbeat intervals, also while it is down.
 */

import { createServer } from 'node:http'

export const HEARTBEAT_MS = 1200
/** The answer of a usual call; a transaction takes as long. */
const ANSWER_MS = 4
/** How often expired entries are looked for. */
const EXPIRY_CHECK_MS = 50

export class Store {
  /** While set, every call is answered with 503, and nothing is done. */
  isDown = false
  /** Carries a promotion out; set by the stage. Returns the answer's status. */
  onPromote = () => 200
  /** While set, the next order gets no answer and is carried out so much later; its fence is checked then. */
  lateMs
  /** Called with the holder of such an order. */
  onLateOrder = () => {}
  #rows = new Map()
  #version = 0
  #startedAt = performance.now()
  #waiting = new Set()
  #objects = new Map()
  #beats = new Map()
  #fences = new Map()
  #servers = []
  #timer

  /** `note`: takes lines for the record. */
  static async start ({ ip, port, cloudPort, note }) {
    const store = new Store()
    store.note = note
    store.#servers = [createServer((req, res) => store.#take(req, res)), createServer((req, res) => store.#takeOrder(req, res))]
    await listen(store.#servers[0], port, ip)
    await listen(store.#servers[1], cloudPort, ip)
    store.#timer = setInterval(() => store.#expire(), EXPIRY_CHECK_MS)
    return store
  }

  stop () {
    clearInterval(this.#timer)
    for (const server of this.#servers) {
      server.closeAllConnections()
      server.close()
    }
  }

  /** Turns the store off and on. What waits at the feed is refused. */
  setDown (isDown) {
    this.isDown = isDown
    for (const wake of [...this.#waiting]) wake()
  }

  /** A heartbeat; false when the store didn't take it. */
  beat (id, entry) {
    if (this.isDown) return false
    this.#beats.set(id, performance.now())
    this.put('servers', id, JSON.stringify(entry))
    return true
  }

  /** A server that has ended takes its entry away. */
  leave (id) {
    this.#beats.delete(id)
    this.put('servers', id, undefined)
  }

  put (table, key, value) {
    this.#version++
    const encoded = value === undefined ? undefined : Buffer.from(value).toString('base64')
    this.#rows.set(`${table}/${key}`, { table, part: '', key, value: encoded, ver: this.#version })
    for (const wake of [...this.#waiting]) wake()
  }

  #expire () {
    for (const [id, at] of this.#beats) {
      if (performance.now() - at < 3 * HEARTBEAT_MS) continue
      this.#beats.delete(id)
      this.note(`store: the entry of ${id} has expired`)
      this.put('servers', id, undefined)
    }
  }

  async #take (req, res) {
    const body = await bodyOf(req)
    await pause(ANSWER_MS)
    if (this.isDown) return answer(res, 503, {})
    const url = new URL(req.url, 'http://store')
    if (url.pathname.startsWith('/blob-')) return this.#object(url, req, res, body)
    if (url.pathname === '/rows-get') return answer(res, 200, { rows: this.#rowsOf(url, 0).filter(({ value }) => value !== undefined).sort(byKey), hasMore: false, ver: this.#version, nowMs: this.#now })
    if (url.pathname === '/rows-feed') return await this.#feed(url, res)
    if (url.pathname === '/rows-tx') return this.#transact(res, JSON.parse(body.toString()))
    answer(res, 404, {})
  }

  get #now () {
    return Math.round(performance.now() - this.#startedAt)
  }

  #rowsOf (url, after) {
    const from = url.searchParams.get('from') ?? ''
    const target = url.searchParams.get('target')
    return [...this.#rows.values()].filter(({ table, key, ver }) => table === url.searchParams.get('table') && ver > after && key >= from && (target === null || key < target))
  }

  async #feed (url, res) {
    const after = Number(url.searchParams.get('after'))
    const until = performance.now() + Number(url.searchParams.get('waitMs'))
    while (!this.isDown && this.#rowsOf(url, after).length === 0 && performance.now() < until) await this.#change(until - performance.now())
    if (this.isDown) return answer(res, 503, {})
    const rows = this.#rowsOf(url, after).sort((a, b) => a.ver - b.ver).map(row => row.value === undefined ? { ...row, deleted: true } : row)
    answer(res, 200, { rows, ver: this.#version, nowMs: this.#now })
  }

  async #change (ms) {
    await new Promise(resolve => {
      const done = () => {
        clearTimeout(timer)
        this.#waiting.delete(done)
        resolve()
      }
      const timer = setTimeout(done, ms)
      this.#waiting.add(done)
    })
  }

  #transact (res, { precondition, puts, deletes }) {
    const isMet = precondition.every(({ table, key, ver }) => {
      const row = this.#rows.get(`${table}/${key}`)
      return (row?.value === undefined ? 0 : row.ver) === ver
    })
    if (!isMet) return answer(res, 412, { rows: [], ver: this.#version, nowMs: this.#now })
    for (const { table, key, value } of puts) {
      if (key.startsWith('lease/')) this.note(`store: ${key} = ${Buffer.from(value, 'base64')}`)
      this.put(table, key, Buffer.from(value, 'base64').toString())
    }
    for (const { table, key } of deletes) this.put(table, key, undefined)
    answer(res, 200, { ver: this.#version, nowMs: this.#now })
  }

  #object (url, req, res, body) {
    const [, verb, id = ''] = url.pathname.split(/^\/blob-|\//).filter(part => part !== undefined)
    if (verb === 'list') return answer(res, 200, { names: [...this.#objects.keys()].filter(name => name.startsWith(url.searchParams.get('prefix') ?? '') && name > (url.searchParams.get('after') ?? '')).sort(), hasMore: false })
    const name = decodeURIComponent(id)
    if (verb === 'put') this.#objects.set(name, body)
    if (verb === 'get' && !this.#objects.has(name)) return answer(res, 404, {})
    if (verb === 'drop') this.#objects.delete(name)
    if (verb === 'get') return res.writeHead(200).end(this.#objects.get(name))
    answer(res, 200, {})
  }

  async #takeOrder (req, res) {
    const { service, id } = JSON.parse((await bodyOf(req)).toString())
    const fence = Number(req.headers['x-fencing-token'])
    const { lateMs } = this
    const holder = req.headers['x-lease-holder']
    this.lateMs = undefined
    if (lateMs === undefined) return answer(res, this.#carryOut(holder, service, id, fence), {})
    this.note(`platform: ${holder} orders ${id} to lead under ${fence}: no answer, carried out ${lateMs} ms later`)
    setTimeout(() => this.#carryOut(holder, service, id, fence), lateMs)
    this.onLateOrder(holder)
  }

  #carryOut (holder, service, id, fence) {
    const isOld = fence < (this.#fences.get(service) ?? 0)
    if (!isOld) this.#fences.set(service, fence)
    const status = isOld ? 409 : this.onPromote(id)
    this.note(`platform: ${holder} orders ${id} to lead under ${fence}: ${status}`)
    return status
  }
}

function byKey (a, b) {
  return a.key < b.key ? -1 : 1
}

async function bodyOf (req) {
  const chunks = []
  for await (const chunk of req) chunks.push(chunk)
  return Buffer.concat(chunks)
}

function answer (res, status, body) {
  res.writeHead(status, { 'Content-Type': 'application/json' })
  res.end(JSON.stringify(body))
}

async function pause (ms) {
  await new Promise(resolve => setTimeout(resolve, ms))
}

async function listen (server, port, ip) {
  await new Promise((resolve, reject) => server.once('error', reject).listen(port, ip, resolve))
}
