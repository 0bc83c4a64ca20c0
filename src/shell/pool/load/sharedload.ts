/** The load that the owners of one group report to each other, as known to this host. */

import type { EndpointId } from '../../../core/id/endpoint.ts'
import type { HostId } from '../../../core/id/host.ts'
import type { Instant } from '../../../core/id/instant.ts'
import { OwnerReports } from '../../../core/pool/load/ownerreports.ts'
import type { EndpointLoad } from '../../../core/pool/load/endpointload.ts'
import type { OthersLoad } from '../../../core/pool/load/othersload.ts'
import type { LoadReport } from '../../../core/pool/load/loadreport.ts'
import { ReportSchedule } from '../../../core/pool/load/reportschedule.ts'
import type { PoolHost } from '../../../core/pool/placing/host.ts'

/** Holds the immutable values of the reports and replaces them as events come in. */
export class SharedLoad implements OthersLoad {
  private board = OwnerReports.empty
  private lastReport = ReportSchedule.initial
  private owners: readonly PoolHost[] = []

  private constructor () {}

  static create (): SharedLoad {
    return new SharedLoad()
  }

  /** The other owners. Empty while every host owns the group or this host doesn't own it; no reports are exchanged then. */
  get others (): readonly PoolHost[] {
    return this.owners
  }

  setOwners (others: readonly PoolHost[]): void {
    this.owners = others
    this.board = this.board.forOwners(others.map(({ id }) => id))
  }

  at (endpoint: EndpointId, now: Instant): ReturnType<OthersLoad['at']> {
    return this.board.at(endpoint, now)
  }

  heard (report: LoadReport, now: Instant): void {
    this.board = this.board.with(report, now)
  }

  /** Drops expired reports; returns the owners that became silent with load since the last call. */
  expire (now: Instant): readonly HostId[] {
    const silent = this.board.silent(now)
    this.board = this.board.withoutExpired(now)
    return silent
  }

  /** Drops all reports. */
  reset (): void {
    this.board = OwnerReports.empty.forOwners(this.owners.map(({ id }) => id))
  }

  /** Whether to report the loads to the other owners now; records them as reported if so. */
  takeIfDue (loads: readonly EndpointLoad[], now: Instant): boolean {
    if (!this.lastReport.isDue(loads, this.owners.length, now)) return false
    this.lastReport = this.lastReport.with(loads, now)
    return true
  }
}
