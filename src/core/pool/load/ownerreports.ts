/** The load reports of the other owners of a group, as far as they are valid. */

import type { EndpointId } from '../../id/endpoint.ts'
import type { HostId } from '../../id/host.ts'
import type { Instant } from '../../id/instant.ts'
import type { EndpointLoad } from './endpointload.ts'
import type { OthersLoad } from './othersload.ts'
import type { LoadReport } from './loadreport.ts'
import { reportPeriod } from './reportperiod.ts'

interface ReceivedReport {
  readonly report: LoadReport
  /** On this host's clock; a report carries no time. */
  readonly at: Instant
}

/**
 * Immutable. Keeps the newest report of each other owner, and counts it for a few periods.
 *
 * A report that was overtaken on its way has a lower sequence number; one of a host that died or hangs expires; one of a host that is no longer an owner
 * is dropped. A host that resumes may still send a report from before; it counts until the host's next one.
 */
export class OwnerReports implements OthersLoad {
  private constructor (
    private readonly otherOwners: ReadonlySet<HostId>,
    private readonly heard: ReadonlyMap<HostId, ReceivedReport>
  ) {}

  /** Without other owners. */
  static readonly empty = new OwnerReports(new Set(), new Map())

  /** The same for these other owners. */
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

  /** Owners whose reports have stopped while they had load; one that becomes idle reports that. */
  silent (now: Instant): readonly HostId[] {
    const hasLoad = ({ report }: ReceivedReport) => report.load.endpoints.some(({ atWork, waiting }) => atWork + waiting > 0)
    return [...this.heard].filter(([, heard]) => !this.isValid(heard, now) && hasLoad(heard)).map(([id]) => id)
  }

  /** Without the load of expired reports; their sequence numbers stay, so that older reports aren't accepted as new. */
  withoutExpired (now: Instant): OwnerReports {
    if (this.silent(now).length === 0) return this
    const emptied = ({ report: { incarnation, load }, at }: ReceivedReport): ReceivedReport => ({ at, report: { incarnation, load: { ...load, endpoints: [] } } })
    return new OwnerReports(this.otherOwners, new Map([...this.heard].map(([id, heard]) => [id, this.isValid(heard, now) ? heard : emptied(heard)])))
  }

  at (endpoint: EndpointId, now: Instant): ReturnType<OthersLoad['at']> {
    const valid = [...this.heard.values()].filter(heard => this.isValid(heard, now))
    const loads = valid.flatMap(({ report }) => report.load.endpoints.filter(load => load.endpoint === endpoint))
    const timed = loads.flatMap(({ answerMs }) => answerMs === undefined ? [] : [answerMs])
    return {
      owners: valid.length,
      atWork: sumOf(loads, ({ atWork }) => atWork),
      waiting: sumOf(loads, ({ waiting }) => waiting),
      answerMs: timed.length === 0 ? undefined : timed.reduce((sum, ms) => sum + ms, 0) / timed.length,
      failing: loads.length === 0 ? 0 : sumOf(loads, ({ failing }) => failing) / loads.length
    }
  }

  /** After the time of day was set back, a new incarnation may have a lower number; its reports are accepted once those of the other have expired. */
  private isNewer ({ incarnation, load }: LoadReport, known: ReceivedReport, now: Instant): boolean {
    const { report } = known
    if (incarnation === report.incarnation) return load.sequence > report.load.sequence
    return incarnation > report.incarnation || !this.isValid(known, now)
  }

  private isValid ({ at }: ReceivedReport, now: Instant): boolean {
    return now - at < reportPeriod.validMs(this.otherOwners.size)
  }
}

function sumOf (loads: readonly EndpointLoad[], of: (load: EndpointLoad) => number): number {
  return loads.reduce((sum, load) => sum + of(load), 0)
}
