/** Creates the audit records of a process's sessions and writes them to the object store in batches. */

import { auditRecordOf } from '../../../core/pool/statements/auditrecord.ts'
import { AuditId } from '../../../core/audit/id.ts'
import { BatchWriter } from '../../audit/batchwriter.ts'

type Audited = Parameters<typeof auditRecordOf>[0]
type Options = Omit<Parameters<typeof BatchWriter.start>[0], 'limits'>

/**
 * Calls to the store are charged, and a killed process loses its open batch, so a batch is closed after ten seconds, or after
 * thirty if it has few records: otherwise many hosts with little work would make most of all calls. The buffer is enough for an hour's
 * outage of the store at ten statements a second and 250 characters a record, in a twentieth of a host's memory.
 */
const LIMITS = { records: 5000, bytes: 1_048_576, ageMs: 10_000, smallBatch: { records: 500, ageMs: 30_000 }, bufferBytes: 8_388_608 }
/** Delay before records are created, so that a process that has just started serves waiting callers first. */
const RECORD_DELAY_MS = 2000
/** Limit on statements that wait for their records; more are dropped and counted. */
const MAX_WAITING = 50_000

export class Auditor {
  private count = 0
  private waiting: Audited[] = []

  private constructor (private readonly options: Options, private readonly batches: BatchWriter) {}

  static start (options: Options, signal: AbortSignal): Auditor {
    const auditor = new Auditor(options, BatchWriter.start({ ...options, limits: LIMITS }, signal))
    const timer = setInterval(() => auditor.record(), RECORD_DELAY_MS)
    signal.addEventListener('abort', () => clearInterval(timer), { once: true })
    return auditor
  }

  /** Adds a statement that has ended; returns the id of its record. */
  take (audited: Omit<Audited, 'id' | 'at'>): string {
    const { host, incarnation, metrics } = this.options
    const at = Math.round(Date.now() - audited.tookMs)
    const id = AuditId.of(host, incarnation, at, ++this.count).toString()
    if (this.waiting.length < MAX_WAITING) this.waiting.push({ ...audited, id, at })
    else metrics.audit.dropped.inc()
    return id
  }

  /** Writes the records in memory to the store; resolves within `ms`. */
  async flush (ms: number): Promise<void> {
    this.record()
    await this.batches.flush(ms)
  }

  private record (): void {
    const { waiting } = this
    this.waiting = []
    for (const audited of waiting) this.batches.add(auditRecordOf(audited))
  }
}
