/** A proxy's connection to a fake endpoint, in place of src/shell/endpoint/connection.ts. */

import type { EndpointConnection } from '../../src/shell/endpoint/connection.ts'
import type { QuerySink } from '../../src/shell/mysql/querysink.ts'
import { OkPacket } from '../../src/shell/mysql/okpacket.ts'
import { encodeResult } from '../../standin/endpoint/columns.ts'
import type { Connection } from './connection.ts'
import type { Endpoint } from './endpoint.ts'
import { LinkError } from './linkerror.ts'
import type { Process } from './process.ts'
import { SqlError } from './sqlerror.ts'

const IN_TRANSACTION = 1
const FRESH_MS = 1000
/** A statement on a silent connection waits until its connection is closed. */
const FOR_EVER_MS = 1_000_000

export class Wire implements Pick<EndpointConnection, keyof EndpointConnection> {
  private answeredAt = performance.now()

  private constructor (private readonly process: Process, private readonly endpoint: Endpoint, private readonly connection: Connection) {}

  static of (process: Process, endpoint: Endpoint, connection: Connection): Wire {
    return new Wire(process, endpoint, connection)
  }

  get isLost (): boolean {
    return this.connection.isBroken
  }

  run (sql: string, sink: QuerySink): void {
    this.send(sql).then(
      ({ result, status, token }) => {
        if (result === undefined) {
          sink.ok({ affected: 1, insertId: 0, status, token } as OkPacket)
          return
        }
        sink.head(headOf(result.names))
        for (const row of encodeResult([], result.rows).rows) sink.row(row)
        sink.end(status)
      },
      (err: Error) => {
        if (err instanceof SqlError) sink.error(err.code, err.message)
        else sink.connectionLost(err)
      })
  }

  /** Runs a statement of the proxy's own and collects its answer. */
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

  async reset (ms: number): Promise<boolean> {
    const { process, endpoint, connection } = this
    return await process.ask(connection, ms, () => endpoint.reset(connection)).then(() => true, () => false)
  }

  get isStale (): boolean {
    return performance.now() - this.answeredAt >= FRESH_MS
  }

  async isResponsive (ms: number): Promise<boolean> {
    if (this.isLost) return false
    const timer = setTimeout(() => this.destroy(), ms)
    return await this.ask('SELECT 1').then(() => true, () => false).finally(() => clearTimeout(timer))
  }

  pause (): void {}

  resume (): void {}

  destroy (): void {
    this.connection.break()
  }

  private async send (sql: string): Promise<Awaited<ReturnType<Endpoint['run']>> & { readonly status: number }> {
    const { process, endpoint, connection } = this
    if (connection.isBroken) throw LinkError.broken
    const answer = await process.ask(connection, FOR_EVER_MS, async () => await endpoint.run(connection, sql))
    this.answeredAt = performance.now()
    return { ...answer, status: answer.isOpen ? IN_TRANSACTION : 0 }
  }
}

const heads = new Map<string, readonly Buffer[]>()

/** Column definitions are the same for every answer to one question, and cost more than its rows. */
function headOf (names: readonly string[]): readonly Buffer[] {
  const name = names.join()
  const known = heads.get(name)
  if (known !== undefined) return known
  const head = encodeResult(names, []).columns
  heads.set(name, head)
  return head
}
