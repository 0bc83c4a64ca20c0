/** The reports that the other owners of a group made, as far as they count. */

import type { EndpointId } from '../../id/endpoint.ts'
import type { HostId } from '../../id/host.ts'
import type { Instant } from '../../id/instant.ts'
import type { EndpointLoad } from './endpointload.ts'
import type { OthersLoad } from './othersload.ts'
import type { LoadReport } from './loadreport.ts'
import { reportPeriod } from './reportperiod.ts'

interface ReceivedReport {
  readonly report: LoadReport
  /** On this host's clock; a report says nothing of times. */
  readonly at: Instant
}

/**
 * Immutable. Only owners are heard, and of each its newest report, for a few periods.
 *
 * Against load that is decided on by what was: a report that was overtaken on its way has a lower number, one of a host that ended or stands still gets too old,
 * and one of a host that owns the group no more is dropped with it. A host that wakes may still send what it wrote before; that counts for one
 * period, until its next report.
 */
export class OwnerReports implements OthersLoad {
  private constructor (
    private readonly otherOwners: ReadonlySet<HostId>,
    private readonly heard: ReadonlyMap<HostId, ReceivedReport>
  ) {}

  /** Without other owners. */
  static readonly empty = new OwnerReports(new Set(), new Map())

  /** For these other owners from now on. */
  forOwners (others: readonly HostId[]): OwnerReports {
    const ids = new Set(others)
    return new OwnerReports(ids, new Map([...this.heard].filter(([id]) => ids.has(id))))
  }

  with (report: LoadReport, now: Instant): OwnerReports {
    const { host } = report.load
    const known = this.heard.get(host)
    if (!this.otherOwners.has(host) || (known !== undefined && !this.isNewer(report, known, now))) return this
    return new OwnerReports(this.otherOwners, new Map([...this.heard, [host, { report, at: now }]]))
  }

  /** Owners that have gone silent with load: one that becomes idle says so. */
  silent (now: Instant): readonly HostId[] {
    const isAtWork = ({ report }: ReceivedReport) => report.load.endpoints.some(({ atWork, waiting }) => atWork + waiting > 0)
    return [...this.heard].filter(([, heard]) => !this.isValid(heard, now) && isAtWork(heard)).map(([id]) => id)
  }

  /** Without the loads that count no more; the numbers stay, so that older ones aren't taken for new. */
  withoutExpired (now: Instant): OwnerReports {
    if (this.silent(now).length === 0) return this
    const emptied = ({ report: { incarnation: life, load }, at }: ReceivedReport): ReceivedReport => ({ at, report: { incarnation: life, load: { ...load, endpoints: [] } } })
    return new OwnerReports(this.otherOwners, new Map([...this.heard].map(([id, heard]) => [id, this.isValid(heard, now) ? heard : emptied(heard)])))
  }

  at (endpoint: EndpointId, now: Instant): ReturnType<OthersLoad['at']> {
    const counting = [...this.heard.values()].filter(heard => this.isValid(heard, now))
    const loads = counting.flatMap(({ report }) => report.load.endpoints.filter(load => load.endpoint === endpoint))
    const timed = loads.flatMap(({ answerMs }) => answerMs === undefined ? [] : [answerMs])
    return {
      owners: counting.length,
      atWork: sumOf(loads, ({ atWork }) => atWork),
      waiting: sumOf(loads, ({ waiting }) => waiting),
      answerMs: timed.length === 0 ? undefined : timed.reduce((sum, ms) => sum + ms, 0) / timed.length,
      failing: loads.length === 0 ? 0 : sumOf(loads, ({ failing }) => failing) / loads.length
    }
  }

  /** Of a life that may be an earlier one, since the time of day was set, a report is taken once the later one says no more. */
  private isNewer ({ incarnation: life, load }: LoadReport, known: ReceivedReport, now: Instant): boolean {
    const { report } = known
    if (life === report.incarnation) return load.sequence > report.load.sequence
    return life > report.incarnation || !this.isValid(known, now)
  }

  private isValid ({ at }: ReceivedReport, now: Instant): boolean {
    return now - at < reportPeriod.validMs(this.otherOwners.size)
  }
}

function sumOf (loads: readonly EndpointLoad[], of: (load: EndpointLoad) => number): number {
  return loads.reduce((sum, load) => sum + of(load), 0)
}
