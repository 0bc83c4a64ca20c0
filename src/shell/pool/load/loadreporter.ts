/** Reports this host's load to the other owners of its groups, and takes in their reports. */

import type { GroupId } from '../../../core/id/group.ts'
import type { HostId } from '../../../core/id/host.ts'
import type { Instant } from '../../../core/id/instant.ts'
import type { EndpointLoad } from '../../../core/pool/load/endpointload.ts'
import type { LoadReport } from '../../../core/pool/load/loadreport.ts'
import type { Log } from '../../log/log.ts'
import type { PoolMetrics } from '../metrics.ts'
import type { LoadTransport } from './loadtransport.ts'
import type { SharedLoad } from './sharedload.ts'

interface LoadedGroup {
  readonly id: GroupId
  /** This host's load at each endpoint. */
  readonly loads: readonly EndpointLoad[]
  readonly sharedLoad: SharedLoad
}

interface Options {
  readonly self: HostId
  /** Greater than that of earlier processes of this host. */
  readonly incarnation: number
  readonly transport: LoadTransport
  readonly groups: () => Iterable<LoadedGroup>
  readonly group: (id: GroupId) => LoadedGroup | undefined
  /** The monotonic clock, for the age of reports. */
  readonly now: () => Instant
  /** The clock that also counts the time for which this host was suspended. */
  readonly age: () => Instant
  readonly log: Log
  readonly metrics: PoolMetrics
}

/** A host that wasn't ticked for so long was suspended, and has unread reports that may be as old. */
const SUSPENDED_MS = 300

export class LoadReporter {
  private tickedAt: Instant
  /** Whether reports that arrived while this host was suspended are being read now. */
  private isCatchingUp = false
  private number = 0

  private constructor (private readonly options: Options) {
    this.tickedAt = options.age()
    options.transport.onReport(report => this.heard(report))
  }

  static create (options: Options): LoadReporter {
    return new LoadReporter(options)
  }

  /** Must be called about as often as load is reported. */
  tick (): void {
    const { groups, age } = this.options
    const suspendedMs = age() - this.tickedAt
    this.tickedAt = age()
    this.isCatchingUp = suspendedMs >= SUSPENDED_MS
    for (const group of groups()) {
      if (group.sharedLoad.others.length === 0) continue
      if (this.isCatchingUp) group.sharedLoad.reset()
      this.logSilentOwners(group)
      this.report(group)
    }
  }

  private logSilentOwners ({ id, sharedLoad }: LoadedGroup): void {
    const { now, log } = this.options
    for (const owner of sharedLoad.expire(now())) log.write('ownerSilent', { group: id, owner })
  }

  private report ({ id, loads, sharedLoad }: LoadedGroup): void {
    const { self, incarnation, transport, now } = this.options
    if (!sharedLoad.takeIfDue(loads, now())) return
    transport.send(sharedLoad.others, { incarnation, load: { host: self, group: id, sequence: ++this.number, endpoints: loads } })
  }

  /**
   * A host that was suspended ignores all reports until the next tick, by which it has read those in its socket. They may
   * be seconds old, and would hold statements back for load that has ended.
   */
  private heard (report: LoadReport): void {
    const { group, now, metrics } = this.options
    const shared = this.isCatchingUp ? undefined : group(report.load.group)?.sharedLoad
    if (shared === undefined) metrics.loadReports.inc({ what: 'left' })
    else shared.heard(report, now())
  }
}
