import type { Connection, ResultSetHeader, RowDataPacket } from 'mysql2/promise'
import { connectCaller } from '../standin/caller.ts'
import type { Stage } from '../standin/stage.ts'

type Kind = 'write' | 'transaction' | 'read'

interface Options {
  readonly name: string
  readonly thinkMs: number
  readonly kinds: readonly Kind[]
  /** Proxies to try, as a balancer would, from this one on. */
  readonly first: number
}

/**
 * A caller that sends one request after another and connects again when its
 * connection was closed between two of them. Whatever else goes wrong counts.
 */
export class LoadClient {
  readonly acknowledged: string[] = []
  readonly errors: string[] = []
  /** Requests answered 1053 "not run", which it sends again. */
  refused = 0
  reconnected = 0
  private isStopped = false
  private isClosed = true
  private connection: Connection | undefined
  private next = 0
  private proxy: number
  private running: Promise<void> | undefined

  constructor (private readonly stage: Stage, private readonly options: Options) {
    this.proxy = options.first
  }

  start (): this {
    this.running = this.run()
    return this
  }

  /** Resolves when so many more writes were acknowledged. */
  async acknowledges (more: number): Promise<void> {
    const due = this.acknowledged.length + more
    while (this.acknowledged.length < due) await new Promise(resolve => { setTimeout(resolve, 20) })
  }

  async stop (): Promise<void> {
    this.isStopped = true
    await this.running
    await this.connection?.end().catch(() => undefined)
  }

  private async run (): Promise<void> {
    while (!this.isStopped) {
      const kind = this.options.kinds[this.next % this.options.kinds.length]!
      const id = `${this.options.name}-${this.next++}`
      await this.one(kind, id)
      if (this.options.thinkMs > 0) await new Promise(resolve => { setTimeout(resolve, this.options.thinkMs) })
    }
  }

  private async one (kind: Kind, id: string): Promise<void> {
    try {
      await this.send(kind, id, await this.connected())
      if (kind !== 'read') this.acknowledged.push(id)
    } catch (err) {
      const { errno, message } = err as { errno?: number, message: string }
      if (errno !== 1053 || !message.startsWith('not run')) {
        this.errors.push(`${id}: ${errno ?? ''} ${message}`)
        return
      }
      // The answer says to connect again.
      this.refused++
      this.isClosed = true
      this.connection?.destroy()
      await this.one(kind, id)
    }
  }

  private async send (kind: Kind, id: string, connection: Connection): Promise<void> {
    if (kind === 'write') return await insert(connection, id)
    if (kind === 'transaction') {
      await connection.query('BEGIN')
      await insert(connection, id)
      await connection.query(`UPDATE crimp SET passed = 1 WHERE terminal = '${id}'`)
      await connection.query('COMMIT')
      return
    }
    const last = this.acknowledged.at(-1)
    if (last === undefined) return
    const [rows] = await connection.query<RowDataPacket[]>(`SELECT passed FROM crimp WHERE terminal = '${last}'`)
    if (rows.length !== 1) throw new Error(`its own write ${last} is missing`)
  }

  /** What has arrived is looked at first, as a pool does before it lends a connection. */
  private async connected (): Promise<Connection> {
    await new Promise(resolve => { setImmediate(resolve) })
    if (!this.isClosed) return this.connection!
    for (;;) {
      const connection = await this.connect(this.proxy % this.stage.proxies.length).catch(() => undefined)
      if (connection !== undefined) return connection
      this.proxy++
      await new Promise(resolve => { setTimeout(resolve, 20) })
    }
  }

  private async connect (proxy: number): Promise<Connection> {
    const connection = await connectCaller(this.stage, proxy, { connectAttributes: { agatepond_session: this.options.name } })
    this.isClosed = false
    connection.on('error', () => { this.isClosed = true })
    connection.on('end', () => { this.isClosed = true })
    this.connection = connection
    this.reconnected++
    return connection
  }
}

async function insert (connection: Connection, id: string): Promise<void> {
  const [result] = await connection.query<ResultSetHeader>(`INSERT INTO crimp VALUES ('${id}', 1)`)
  if (result.affectedRows !== 1) throw new Error(`${result.affectedRows} rows for one insert`)
}
