/** COM_QUERY on an endpoint's connection, with the result relayed packet by packet. */

import { OkPacket } from './okpacket.ts'
import { RawPacket } from './rawpacket.ts'
import { payloadOf } from './payload.ts'
import type { QuerySink } from './querysink.ts'
import type { Wire } from './wire.ts'

type IncomingPacket = NonNullable<Parameters<Parameters<Wire['addCommand']>[0]['execute']>[0]>

const COM_QUERY = 3
const MORE_RESULTS = 8
const LOCAL_INFILE = 0xfb

/**
 * The client side of COM_QUERY, for mysql2's command queue. Column definitions
 * and rows are passed on undecoded: the proxy doesn't need their values, and
 * decoding them is expensive.
 */
export class QueryCommand {
  private state: 'start' | 'header' | 'columns' | 'rows' = 'start'
  private columnCount = 0
  private columns: Buffer[] = []

  private constructor (private readonly sql: string, private readonly sink: QuerySink) {}

  static of (sql: string, sink: QuerySink): QueryCommand {
    return new QueryCommand(sql, sink)
  }

  /** Called by mysql2 for each packet. Returns true when the command has ended. */
  execute (packet: IncomingPacket | undefined, wire: Wire): boolean {
    if (packet === undefined) return this.start(wire)
    if (packet.isError()) return this.handleError(packet)
    switch (this.state) {
      case 'start': return false
      case 'header': return this.handleHeader(packet, wire)
      case 'columns': return this.handleColumn(packet)
      case 'rows': return this.handleRow(packet, wire)
    }
  }

  /** Called by mysql2 if the connection is lost before the command has ended. */
  onResult (err: Error): void {
    this.sink.connectionLost(err)
  }

  private start (wire: Wire): boolean {
    wire.sequenceId = 0
    this.state = 'header'
    wire.writePacket(RawPacket.command(COM_QUERY, this.sql))
    return false
  }

  private handleError (packet: IncomingPacket): boolean {
    const err = packet.asError('utf8')
    this.sink.error(err.errno, err.message)
    return true
  }

  private handleHeader (packet: IncomingPacket, wire: Wire): boolean {
    const first = packet.peekByte()
    if (first === 0) {
      const ok = tryRead(() => OkPacket.read(packet))
      if (ok instanceof Error) return this.abort(ok, wire)
      if ((ok.status & MORE_RESULTS) !== 0) return this.rejectMultipleResults(wire)
      this.sink.ok(ok)
      return true
    }
    if (first === LOCAL_INFILE) {
      this.sink.connectionLost(new Error('the endpoint asked for a local file, which a proxy never sends'))
      wire.destroy()
      return true
    }
    const count = tryRead(() => packet.readLengthCodedNumber() ?? 0)
    if (count instanceof Error) return this.abort(count, wire)
    this.columnCount = count
    this.columns = []
    this.state = 'columns'
    return false
  }

  private abort (err: Error, wire: Wire): boolean {
    this.sink.connectionLost(err)
    wire.destroy()
    return true
  }

  private handleColumn (packet: IncomingPacket): boolean {
    if (this.columns.length < this.columnCount) {
      this.columns.push(payloadOf(packet))
      return false
    }
    this.sink.head(this.columns)
    this.state = 'rows'
    return false
  }

  private handleRow (packet: IncomingPacket, wire: Wire): boolean {
    if (!packet.isEOF()) {
      this.sink.row(payloadOf(packet))
      return false
    }
    const status = packet.eofStatusFlags()
    if ((status & MORE_RESULTS) !== 0) return this.rejectMultipleResults(wire)
    this.sink.end(status)
    return true
  }

  /** Once the first result has been relayed, a second one can't be distinguished from the reply to the next statement. */
  private rejectMultipleResults (wire: Wire): boolean {
    this.sink.connectionLost(new Error('a statement with more than one result is not supported; call it for one result at a time'))
    wire.destroy()
    return true
  }
}

/** Returns a decoding error instead of throwing it: an error thrown into mysql2's packet reader would end the process. */
function tryRead<T> (read: () => T): T | Error {
  try {
    return read()
  } catch (err) {
    return err as Error
  }
}
