/** Makes the audit records of a process's sessions, and brings them to the object store. */

import { auditRecordOf } from '../../../core/pool/statements/auditrecord.ts'
import { AuditId } from '../../../core/audit/id.ts'
import { Batches } from '../../audit/batches.ts'

type Audited = Parameters<typeof auditRecordOf>[0]
type Options = Omit<Parameters<typeof Batches.start>[0], 'limits'>

/**
 * Each batch is a call to a store whose calls are counted, and a process without a disk loses the open one when it's killed.
 * So a batch is cut after ten seconds, or, with less than a tenth of what fits into it, after thirty: many hosts with little work each
 * would else make most of all calls. The buffer holds an hour's outage at ten statements a
 * second (250 characters a record), within a twentieth of the memory that hosts have.
 */
const LIMITS = { records: 5000, bytes: 1_048_576, ageMs: 10_000, smallBatch: { records: 500, ageMs: 30_000 }, bufferBytes: 8_388_608 }
/**
 * What statements leave is made into records so much later: a process that has just started serves those who
 * wait for it first. More than so many are dropped and counted, as at a hundred times the planned load of a host.
 */
const RECORD_DELAY_MS = 2000
const MAX_WAITING = 50_000

export class Auditor {
  private count = 0
  private waiting: Audited[] = []

  private constructor (private readonly options: Options, private readonly batches: Batches) {}

  static start (options: Options, signal: AbortSignal): Auditor {
    const auditor = new Auditor(options, Batches.start({ ...options, limits: LIMITS }, signal))
    const timer = setInterval(() => auditor.record(), RECORD_DELAY_MS)
    signal.addEventListener('abort', () => clearInterval(timer), { once: true })
    return auditor
  }

  /** Takes in a statement that has ended; the id of its record. */
  take (audited: Omit<Audited, 'id' | 'at'>): string {
    const { host, incarnation, metrics } = this.options
    const at = Math.round(Date.now() - audited.tookMs)
    const id = AuditId.of(host, incarnation, at, ++this.count).toString()
    if (this.waiting.length < MAX_WAITING) this.waiting.push({ ...audited, id, at })
    else metrics.audit.dropped.inc()
    return id
  }

  /** Stores what is in memory; resolves within `ms`. */
  async flush (ms: number): Promise<void> {
    this.record()
    await this.batches.flush(ms)
  }

  private record (): void {
    const { waiting } = this
    this.waiting = []
    for (const audited of waiting) this.batches.keep(auditRecordOf(audited))
  }
}
