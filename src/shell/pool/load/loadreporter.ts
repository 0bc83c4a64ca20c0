/** Tells the other owners of this host's groups of its load, and takes what they tell. */

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
  /** What this host has at each endpoint. */
  readonly loads: readonly EndpointLoad[]
  readonly sharedLoad: SharedLoad
}

interface Options {
  readonly self: HostId
  /** Greater than in the earlier lives of this host. */
  readonly incarnation: number
  readonly transport: LoadTransport
  readonly groups: () => Iterable<LoadedGroup>
  readonly group: (id: GroupId) => LoadedGroup | undefined
  /** The clock by which ages of reports are told, */
  readonly now: () => Instant
  /** and the one that doesn't hide that this host was suspended. */
  readonly age: () => Instant
  readonly log: Log
  readonly metrics: PoolMetrics
}

/** A host that looks so much later than before stood still: what came in meanwhile lies unread, and may be as old. Milliseconds. */
const SUSPENDED_MS = 300

export class LoadReporter {
  private tickedAt: Instant
  /** Whether what lay unread while this host stood still is being read now. */
  private isCatchingUp = false
  private number = 0

  private constructor (private readonly options: Options) {
    this.tickedAt = options.age()
    options.transport.onReport(report => this.heard(report))
  }

  static create (options: Options): LoadReporter {
    return new LoadReporter(options)
  }

  /** To be called about as often as load is reported. */
  tick (): void {
    const { groups, age } = this.options
    const stoodMs = age() - this.tickedAt
    this.tickedAt = age()
    this.isCatchingUp = stoodMs >= SUSPENDED_MS
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
    const { self, incarnation: life, transport: way, now } = this.options
    if (!sharedLoad.takeIfDue(loads, now())) return
    way.send(sharedLoad.others, { incarnation: life, load: { host: self, group: id, sequence: ++this.number, endpoints: loads } })
  }

  /**
   * Guard against a host that stood still and then decides by what lay in its socket, seconds old, as if it were new: it takes nothing until the
   * next look, by which all that is read. It shows as statements held back for load that ended long before.
   */
  private heard (report: LoadReport): void {
    const { group, now, metrics } = this.options
    const shared = this.isCatchingUp ? undefined : group(report.load.group)?.sharedLoad
    if (shared === undefined) metrics.loadReports.inc({ what: 'left' })
    else shared.heard(report, now())
  }
}
