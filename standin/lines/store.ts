/** A small versioned row store over HTTP with a feed, and the promotion call, in the process of a test. */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { bodyOf } from '../body.ts'
import { ObjectServer } from './objects.ts'

interface Row {
  readonly table: string
  readonly part: string
  readonly key: string
  /** Base64; undefined once dropped. */
  readonly value: string | undefined
  readonly ver: number
}

interface Order {
  readonly service: string
  readonly id: string
  readonly holder: string
  readonly fence: number
}

interface Transaction {
  readonly precondition: ReadonlyArray<{ readonly table: string, readonly key: string, readonly ver: number }>
  readonly puts: ReadonlyArray<{ readonly table: string, readonly key: string, readonly value: string }>
  readonly deletes: ReadonlyArray<{ readonly table: string, readonly key: string }>
}

export class RowServer {
  readonly orders: Order[] = []
  readonly faults: { isDown?: boolean, isForgetful?: boolean, hasNoHistory?: boolean, loseNextWrite?: boolean, isSilent?: boolean, silentTables?: RegExp, isPromotionUnanswered?: boolean } = {}
  /** Carries a promotion out; the answer's status. */
  onPromote: (order: Order) => number = () => 200
  readonly objects = ObjectServer.create()
  private readonly rows = new Map<string, Row>()
  private version = 0
  private readonly startedAt = performance.now()
  private readonly waiting = new Set<() => void>()

  private constructor (private readonly server: Server) {}

  static async start (port: number): Promise<RowServer> {
    const server = createServer((req, res) => {
      store.handle(req, res).catch(() => res.destroy())
    })
    const store = new RowServer(server)
    await new Promise<void>(resolve => server.listen(port, '127.0.0.1', resolve))
    return store
  }

  async stop (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise<void>(resolve => this.server.close(() => resolve()))
  }

  /** Writes as the operator or an endpoint does. */
  put (table: string, key: string, value: string | undefined): void {
    this.version++
    const encoded = value === undefined ? undefined : Buffer.from(value).toString('base64')
    this.rows.set(`${table}/${key}`, { table, part: '', key, value: encoded, ver: this.version })
    for (const wake of [...this.waiting]) wake()
  }

  get (table: string, key: string): string | undefined {
    const value = this.rows.get(`${table}/${key}`)?.value
    return value === undefined ? undefined : Buffer.from(value, 'base64').toString()
  }

  private async handle (req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (this.faults.isSilent === true) return
    if (this.faults.isDown === true) return answer(res, 503, {})
    const url = new URL(req.url!, 'http://store')
    if (this.faults.silentTables?.test(url.searchParams.get('table') ?? '') === true) return
    if (await this.objects.handle(url, req, res)) return
    const body = (await bodyOf(req)).toString()
    if (url.pathname === '/promote') return this.promote(req, res, body)
    if (url.pathname === '/rows-get') return answer(res, 200, { rows: this.of(url, 0).filter(({ value }) => value !== undefined), hasMore: false, ver: this.version, nowMs: this.clock() })
    if (url.pathname === '/rows-feed') return await this.feed(url, res)
    if (url.pathname === '/rows-tx') return this.transact(res, JSON.parse(body) as Transaction)
    answer(res, 404, {})
  }

  /** A clock of its own that never goes back. */
  private clock (): number {
    return Math.round(performance.now() - this.startedAt)
  }

  private of (url: URL, after: number): readonly Row[] {
    const from = url.searchParams.get('from') ?? ''
    const target = url.searchParams.get('target')
    return [...this.rows.values()]
      .filter(({ table, key, ver }) => table === url.searchParams.get('table') && ver > after && key >= from && (target === null || key < target))
      .sort((a, b) => a.ver - b.ver)
  }

  private async feed (url: URL, res: ServerResponse): Promise<void> {
    if (this.faults.hasNoHistory === true) return answer(res, 410, {})
    if (this.faults.isForgetful === true) {
      this.faults.isForgetful = false
      return answer(res, 410, {})
    }
    const after = Number(url.searchParams.get('after'))
    const until = Date.now() + Number(url.searchParams.get('waitMs'))
    while (this.of(url, after).length === 0 && Date.now() < until) await this.change(until - Date.now())
    const rows = this.of(url, after).map(row => row.value === undefined ? { ...row, deleted: true } : row)
    answer(res, 200, { rows, ver: this.version, nowMs: this.clock() })
  }

  private async change (ms: number): Promise<void> {
    await new Promise<void>(resolve => {
      const done = () => {
        clearTimeout(timer)
        this.waiting.delete(done)
        resolve()
      }
      const timer = setTimeout(done, ms)
      this.waiting.add(done)
    })
  }

  private transact (res: ServerResponse, { precondition, puts, deletes }: Transaction): void {
    const isMet = precondition.every(({ table, key, ver }) => {
      const row = this.rows.get(`${table}/${key}`)
      return (row?.value === undefined ? 0 : row.ver) === ver
    })
    if (!isMet) return answer(res, 412, { rows: [] })
    for (const { table, key, value } of puts) this.put(table, key, Buffer.from(value, 'base64').toString())
    for (const { table, key } of deletes) this.put(table, key, undefined)
    if (this.faults.loseNextWrite === true) {
      this.faults.loseNextWrite = false
      res.destroy()
      return
    }
    answer(res, 200, { ver: this.version, nowMs: 0 })
  }

  private promote (req: IncomingMessage, res: ServerResponse, body: string): void {
    const { service, id } = JSON.parse(body) as { service: string, id: string }
    const order = { service, id, holder: String(req.headers['x-lease-holder']), fence: Number(req.headers['x-fencing-token']) }
    const highest = Math.max(0, ...this.orders.filter(one => one.service === service).map(({ fence }) => fence))
    this.orders.push(order)
    if (this.faults.isPromotionUnanswered === true) return
    answer(res, order.fence < highest ? 409 : this.onPromote(order), {})
  }
}

function answer (res: ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, { 'Content-Type': 'application/json' })
  res.end(JSON.stringify(body))
}
