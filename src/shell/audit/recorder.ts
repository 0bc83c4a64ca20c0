/** Records the requests that a process receives over the MySQL protocol. */

import { fingerprint } from '../../core/audit/fingerprint.ts'
import { AuditId } from '../../core/audit/id.ts'
import { AuditRecord } from '../../core/audit/record.ts'
import type { Instant } from '../../core/id/instant.ts'
import type { ConfigVersion } from '../../core/id/version.ts'
import { freshnessOf } from '../caller/freshness.ts'
import type { Audit } from './audit.ts'
import { BatchWriter } from './batchwriter.ts'
import { RequestTrail } from './trail.ts'

type Options = Parameters<typeof BatchWriter.start>[0] & {
  readonly configVersion: () => ConfigVersion | undefined
  readonly now: () => Instant
}

/** Records all requests; stores them until the signal is aborted. */
export class Recorder implements Audit {
  private count = 0

  private constructor (private readonly options: Options, private readonly batches: BatchWriter) {}

  static start (options: Options, signal: AbortSignal): Recorder {
    return new Recorder(options, BatchWriter.start(options, signal))
  }

  begin ({ sql, kind, identity, hints, once, deadline }: Parameters<Audit['begin']>[0]): ReturnType<Audit['begin']> {
    const { host, incarnation, now, configVersion } = this.options
    const { pool, group, caller, session } = identity
    const { fields } = hints
    const at = Date.now()
    const began = now()
    const record = AuditRecord.begin({
      id: AuditId.of(host, incarnation, at, ++this.count).toString(),
      at,
      session: fields.session ?? session,
      caller,
      pool: pool.id,
      group: group.id,
      config: configVersion() ?? 0,
      kind,
      read: kind === 'read' ? fields.read : undefined,
      freshness: kind === 'read' ? freshnessText(freshnessOf(identity, hints)) : undefined,
      class: fields.class ?? 'normal',
      once: once === '' ? undefined : once,
      statement: fingerprint(sql),
      deadlineMs: Math.round(deadline - began)
    })
    return RequestTrail.begin({ record, began, now, onRecord: finished => this.batches.add(finished) })
  }

  async flush (ms: number): Promise<void> {
    await this.batches.flush(ms)
  }
}

function freshnessText (freshness: ReturnType<typeof freshnessOf>): string {
  return freshness.kind === 'age' ? `${freshness.ms}ms` : freshness.kind
}
