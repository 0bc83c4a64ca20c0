/** The metrics of one process. */

import { Counter, Gauge, Registry, collectDefaultMetrics } from 'prom-client'

/** All metrics, registered once a process. */
export class Metrics {
  readonly registry = new Registry()
  readonly requests = new Counter({
    name: 'agatepond_requests_total', help: 'Requests by kind, place and outcome', labelNames: ['kind', 'place', 'outcome'] as const, registers: [this.registry]
  })

  readonly callers = new Gauge({ name: 'agatepond_callers', help: 'Open connections of callers', registers: [this.registry] })
  readonly slots = new Gauge({ name: 'agatepond_slots', help: 'Slots held by this process', registers: [this.registry] })
  readonly configVersion = new Gauge({ name: 'agatepond_config_version', help: 'Version of the configuration in force', registers: [this.registry] })
  readonly promotions = new Counter({ name: 'agatepond_promotions_total', help: 'Promotions ordered by this process', registers: [this.registry] })
  readonly auditRecords = new Counter({ name: 'agatepond_audit_records_total', help: 'Audit records made', registers: [this.registry] })
  readonly auditDropped = new Counter({ name: 'agatepond_audit_dropped_total', help: 'Audit records dropped or lost', registers: [this.registry] })
  readonly auditBatches = new Counter({ name: 'agatepond_audit_batches_total', help: 'Batches of audit records stored', registers: [this.registry] })
  readonly auditBytes = new Counter({ name: 'agatepond_audit_bytes_total', help: 'Compressed bytes of stored batches', registers: [this.registry] })
  readonly auditWaiting = new Gauge({ name: 'agatepond_audit_waiting_bytes', help: 'Audit records that wait in memory: characters of the open batch, bytes of the cut ones', registers: [this.registry] })

  private constructor () {
    collectDefaultMetrics({ register: this.registry })
  }

  static create (): Metrics {
    return new Metrics()
  }
}
