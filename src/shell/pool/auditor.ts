/** Makes the audit records of a process's sessions, and brings them to the object store. */

import { auditRecordOf } from '../../core/pool/audited.ts'
import { AuditId } from '../../core/audit/id.ts'
import { Batches } from '../audit/batches.ts'

type Audited = Omit<Parameters<typeof auditRecordOf>[0], 'id' | 'at'>
type Options = Omit<Parameters<typeof Batches.start>[0], 'limits'>

/**
 * A batch is cut after ten seconds: a process without a disk loses that much when it's killed, and each batch
 * is a call to a store whose calls are counted. The buffer holds an hour's outage at ten statements a
 * second (250 characters a record), within a twentieth of the memory that hosts have.
 */
const LIMITS = { records: 5000, bytes: 1_048_576, ageMs: 10_000, bufferBytes: 8_388_608 }

export class Auditor {
  private count = 0

  private constructor (private readonly options: Options, private readonly batches: Batches) {}

  static start (options: Options, signal: AbortSignal): Auditor {
    return new Auditor(options, Batches.start({ ...options, limits: LIMITS }, signal))
  }

  /** Takes in a statement that has ended; the id of its record. */
  take (audited: Audited): string {
    const { host, incarnation } = this.options
    const at = Math.round(Date.now() - audited.tookMs)
    const id = AuditId.of(host, incarnation, at, ++this.count).toString()
    this.batches.keep(auditRecordOf({ ...audited, id, at }))
    return id
  }

  /** Stores what is in memory; resolves within `ms`. */
  async flush (ms: number): Promise<void> {
    await this.batches.flush(ms)
  }
}
