/** A MySQL connection to an endpoint. */

import mysql from 'mysql2'
import { QueryCommand } from '../mysql/querycommand.ts'
import type { QuerySink } from '../mysql/querysink.ts'
import { ResetCommand } from '../mysql/resetcommand.ts'
import type { Wire } from '../mysql/wire.ts'

interface Address {
  readonly ip: string
  readonly port: number
  readonly user: string
  readonly password: string
  readonly database: string
  readonly connectMs: number
}

/** A connection that received nothing for this long is pinged before it's used. */
const STALE_AFTER_MS = 1000

/** Runs one statement at a time. A lost connection is never reopened. */
export class EndpointConnection {
  isLost = false
  private lastReceivedAt = performance.now()

  private constructor (private readonly wire: Wire) {}

  /** Resolves when authenticated; rejects when the endpoint refuses the connection or doesn't answer within `connectMs`. */
  static async open (address: Address): Promise<EndpointConnection> {
    const raw = mysql.createConnection({
      host: address.ip,
      port: address.port,
      user: address.user,
      password: address.password,
      database: address.database,
      connectTimeout: address.connectMs,
      // No statements are prepared at endpoints; with its default, mysql2 reserves half a megabyte for them on each connection.
      maxPreparedStatements: 1,
      flags: ['-FOUND_ROWS']
    })
    const wire = raw as unknown as Wire
    const it = new EndpointConnection(wire)
    await new Promise<void>((resolve, reject) => {
      raw.once('connect', () => resolve())
      raw.once('error', reject)
      // Covers the handshake as well: a server that accepts the connection and then sends nothing counts as unreachable.
      setTimeout(() => reject(new Error('no answer to the handshake')), address.connectMs).unref()
    }).catch((err: unknown) => {
      it.destroy()
      throw err
    })
    wire.on('error', () => it.markLost())
    wire.on('end', () => it.markLost())
    wire.stream.once('close', () => it.markLost())
    wire.stream.on('data', () => { it.lastReceivedAt = performance.now() })
    return it
  }

  /** Runs a statement and passes its result to the sink as it arrives. */
  run (sql: string, sink: QuerySink): void {
    if (this.isLost) return sink.connectionLost(new Error('the connection is lost'))
    this.wire.addCommand(QueryCommand.of(sql, sink))
  }

  /** Runs an internal statement and resolves with its rows; rejects with the server's `code` if it returns an error. */
  async ask (sql: string): Promise<readonly Buffer[]> {
    return await new Promise((resolve, reject) => {
      const rows: Buffer[] = []
      this.run(sql, {
        head: () => undefined,
        row: row => rows.push(row),
        ok: () => resolve(rows),
        end: () => resolve(rows),
        error: (code, message) => reject(Object.assign(new Error(message), { code })),
        connectionLost: reject
      })
    })
  }

  /** Resets the session state of the connection; false when that didn't succeed within `ms`. */
  async reset (ms: number): Promise<boolean> {
    if (this.isLost) return false
    return await new Promise(resolve => {
      const timer = setTimeout(() => resolve(false), ms)
      this.wire.addCommand(ResetCommand.of(isReset => {
        clearTimeout(timer)
        resolve(isReset)
      }))
    })
  }

  /** Whether nothing was received for so long that the connection may be dead. */
  get isStale (): boolean {
    return performance.now() - this.lastReceivedAt >= STALE_AFTER_MS
  }

  /**
   * Pings the server and closes the connection if no answer comes within `ms`.
   * Finds idle connections that a network device dropped: they show no error,
   * but statements sent on them are never answered.
   */
  async isResponsive (ms: number): Promise<boolean> {
    if (this.isLost) return false
    const timer = setTimeout(() => this.destroy(), ms)
    return await this.ask('SELECT 1').then(() => true, () => false).finally(() => clearTimeout(timer))
  }

  pause (): void {
    this.wire.pause()
  }

  resume (): void {
    this.wire.resume()
  }

  /**
   * Closes the connection at once; a running statement may still take effect.
   * Destroys the stream, which fails the running command. mysql2's `destroy`
   * only ends the sending side, and on a silent connection the command would
   * never complete.
   */
  destroy (): void {
    this.markLost()
    this.wire.on('error', () => undefined)
    this.wire.stream.destroy()
  }

  private markLost (): void {
    this.isLost = true
  }
}
