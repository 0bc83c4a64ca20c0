/** What the owners of one group tell each other of their load, as this one of them knows it. */

import type { EndpointId } from '../../../core/id/endpoint.ts'
import type { HostId } from '../../../core/id/host.ts'
import type { Instant } from '../../../core/id/instant.ts'
import { OwnerReports } from '../../../core/pool/load/ownerreports.ts'
import type { EndpointLoad } from '../../../core/pool/load/endpointload.ts'
import type { OthersLoad } from '../../../core/pool/load/othersload.ts'
import type { LoadReport } from '../../../core/pool/load/loadreport.ts'
import { ReportSchedule } from '../../../core/pool/load/reportschedule.ts'
import type { PoolHost } from '../../../core/pool/placing/host.ts'

/** The only place where the pure values are replaced. */
export class SharedLoad implements OthersLoad {
  private board = OwnerReports.empty
  private lastReport = ReportSchedule.initial
  private owners: readonly PoolHost[] = []

  private constructor () {}

  static create (): SharedLoad {
    return new SharedLoad()
  }

  /** The other owners; none while every host owns the group, or this one doesn't, and then nothing is told or heard. */
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

  /** Drops what counts no more, and tells which owners went silent with load since this was last asked. */
  expire (now: Instant): readonly HostId[] {
    const silent = this.board.silent(now)
    this.board = this.board.withoutExpired(now)
    return silent
  }

  /** As if no report had come. */
  reset (): void {
    this.board = OwnerReports.empty.forOwners(this.owners.map(({ id }) => id))
  }

  /** Whether to tell the others now; a yes counts as told. */
  takeIfDue (loads: readonly EndpointLoad[], now: Instant): boolean {
    if (!this.lastReport.isDue(loads, this.owners.length, now)) return false
    this.lastReport = this.lastReport.with(loads, now)
    return true
  }
}
