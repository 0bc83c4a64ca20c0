/** One connection to an endpoint. */

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

/** A connection that was silent for longer is asked before it's used. */
const STALE_AFTER_MS = 1000

/** Runs one statement at a time. Once lost it stays lost. */
export class EndpointConnection {
  isLost = false
  private lastReceivedAt = performance.now()

  private constructor (private readonly wire: Wire) {}

  /** Resolves when signed in; rejects when the endpoint refuses or doesn't answer in `connectMs`. */
  static async open (address: Address): Promise<EndpointConnection> {
    const raw = mysql.createConnection({
      host: address.ip,
      port: address.port,
      user: address.user,
      password: address.password,
      database: address.database,
      connectTimeout: address.connectMs,
      // Nothing is prepared at endpoints; mysql2 would set half a megabyte aside for it on each connection.
      maxPreparedStatements: 1,
      flags: ['-FOUND_ROWS']
    })
    const wire = raw as unknown as Wire
    const it = new EndpointConnection(wire)
    await new Promise<void>((resolve, reject) => {
      raw.once('connect', () => resolve())
      raw.once('error', reject)
      // connectTimeout covers the handshake too: a server that accepts and then stays silent counts as unreachable.
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

  run (sql: string, sink: QuerySink): void {
    if (this.isLost) return sink.connectionLost(new Error('the connection is lost'))
    this.wire.addCommand(QueryCommand.of(sql, sink))
  }

  /** Runs a statement and collects its answer; for the few statements of the proxy's own. */
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

  /** Clears what a borrower left on the connection; false when that didn't succeed in `ms`. */
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

  /** Whether nothing was heard of it for so long that it may have gone silent. */
  get isStale (): boolean {
    return performance.now() - this.lastReceivedAt >= STALE_AFTER_MS
  }

  /**
   * Against a connection that something in between lost track of while nobody
   * used it: it shows no error, and a statement sent on it is never answered.
   * When false it's closed.
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
   * Closes at once, without a farewell: what runs on it may still take effect.
   * Against a wait without end: mysql2's own `destroy` only ends the sending
   * side and drops the running command unanswered, so on a silent connection
   * whoever asked would never hear. A destroyed stream fails the command.
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
