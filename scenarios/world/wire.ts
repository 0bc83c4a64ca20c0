/** A proxy's connection to a fake endpoint, in place of src/shell/endpoint/connection.ts. */

import type { QuerySink } from '../../src/shell/mysql/querysink.ts'
import { OkPacket } from '../../src/shell/mysql/okpacket.ts'
import { encodeResult } from '../../standin/endpoint/columns.ts'
import type { Connection } from './connection.ts'
import type { Endpoint } from './endpoint.ts'
import { LinkError } from './linkerror.ts'
import type { Process } from './process.ts'
import { SqlError } from './sqlerror.ts'

const IN_TRANSACTION = 1
/** A statement on a silent connection waits until its connection is closed. */
const FOR_EVER_MS = 1_000_000

export class Wire {
  private constructor (private readonly process: Process, private readonly endpoint: Endpoint, private readonly connection: Connection) {}

  static of (process: Process, endpoint: Endpoint, connection: Connection): Wire {
    return new Wire(process, endpoint, connection)
  }

  get isLost (): boolean {
    return this.connection.isBroken
  }

  run (sql: string, sink: QuerySink): void {
    this.ask(sql).then(
      ({ result, status, token }) => {
        if (result === undefined) {
          sink.ok({ affected: 1, insertId: 0, status, token } as OkPacket)
          return
        }
        const { columns, rows } = encodeResult(result.names, result.rows)
        sink.head(columns)
        for (const row of rows) sink.row(row)
        sink.end(status)
      },
      (err: Error) => {
        if (err instanceof SqlError) sink.error(err.code, err.message)
        else sink.lost(err)
      })
  }

  async reset (ms: number): Promise<boolean> {
    const { process, endpoint, connection } = this
    return await process.ask(connection, ms, () => endpoint.reset(connection)).then(() => true, () => false)
  }

  pause (): void {}

  resume (): void {}

  destroy (): void {
    this.connection.break()
  }

  private async ask (sql: string): Promise<Awaited<ReturnType<Endpoint['run']>> & { readonly status: number }> {
    const { process, endpoint, connection } = this
    if (connection.isBroken) throw LinkError.broken
    const answer = await process.ask(connection, FOR_EVER_MS, async () => await endpoint.run(connection, sql))
    return { ...answer, status: answer.isOpen ? IN_TRANSACTION : 0 }
  }
}
