/** Sends and receives load reports between hosts as UDP datagrams. */

import { createSocket, type Socket } from 'node:dgram'
import type { LoadReport } from '../../../core/pool/load/loadreport.ts'
import { reportCodec } from '../../../core/pool/load/reportcodec.ts'
import type { PoolHost } from '../../../core/pool/placing/host.ts'
import type { Log } from '../../log/log.ts'
import type { PoolMetrics } from '../metrics.ts'
import type { LoadTransport } from './loadtransport.ts'

interface Options {
  readonly ip: string
  readonly port: number
  readonly log: Log
  readonly metrics: PoolMetrics
  readonly signal: AbortSignal
}

/** Reports go to the port after the one for sessions. */
const PORT_OFFSET = 1

/** Uses datagrams, since a newer report replaces a lost one, and a stream would delay new reports behind a late one. */
export class LoadPort implements LoadTransport {
  private listener: (report: LoadReport) => void = () => undefined
  private isFailing = false

  private constructor (private readonly socket: Socket, private readonly options: Options) {
    socket.on('message', message => this.received(message))
    socket.on('error', error => this.failed(error))
  }

  /** Listens until the signal. */
  static listen (options: Options): LoadPort {
    const { ip, port, signal } = options
    const socket = createSocket({ type: 'udp4', signal })
    socket.bind(port, ip)
    return new LoadPort(socket, options)
  }

  /** The address for reports to a host that takes sessions at the given address. */
  static reportAddress ({ ip, port }: PoolHost['address']): PoolHost['address'] {
    return { ip, port: port + PORT_OFFSET }
  }

  onReport (listener: (report: LoadReport) => void): void {
    this.listener = listener
  }

  send (hosts: readonly PoolHost[], report: LoadReport): void {
    if (this.options.signal.aborted) return
    const message = Buffer.from(reportCodec.encode(report))
    for (const { address } of hosts) {
      const { ip, port } = LoadPort.reportAddress(address)
      this.socket.send(message, port, ip, error => this.sent(error))
    }
  }

  private received (message: Buffer): void {
    const report = reportCodec.decode(message.toString('utf8'))
    this.options.metrics.loadReports.inc({ what: report === undefined ? 'unreadable' : 'heard' })
    if (report !== undefined) this.listener(report)
  }

  private sent (error: Error | null): void {
    this.options.metrics.loadReports.inc({ what: error === null ? 'sent' : 'unsent' })
    if (error === null) this.isFailing = false
    else this.failed(error)
  }

  /** Logs only the first failure until a report is sent again, since reports are frequent. */
  private failed (error: Error): void {
    if (!this.isFailing) this.options.log.write('loadPortFailed', { problem: error.message })
    this.isFailing = true
  }
}
