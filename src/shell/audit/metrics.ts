/** Metrics of audit records. */

import { Counter, Gauge, type Registry } from 'prom-client'

/** Creates and registers the metrics; call once per registry. */
export function auditMetrics (registry: Registry) {
  return {
    records: new Counter({ name: 'agatepond_audit_records_total', help: 'Audit records made', registers: [registry] }),
    dropped: new Counter({ name: 'agatepond_audit_dropped_total', help: 'Audit records dropped or lost', registers: [registry] }),
    batches: new Counter({ name: 'agatepond_audit_batches_total', help: 'Batches of audit records stored', registers: [registry] }),
    bytes: new Counter({ name: 'agatepond_audit_bytes_total', help: 'Compressed bytes of stored batches', registers: [registry] }),
    removed: new Counter({ name: 'agatepond_audit_batches_removed_total', help: 'Batches of audit records taken from a full store', registers: [registry] }),
    waiting: new Gauge({ name: 'agatepond_audit_waiting_bytes', help: 'Audit records that wait in memory: characters of the open batch, bytes of the cut ones', registers: [registry] })
  }
}
