/** Prometheus metrics of the process. */

import { Counter, Gauge, Registry, collectDefaultMetrics } from 'prom-client'
import { auditMetrics } from '../audit/metrics.ts'

/** Registers the metrics in a registry of its own; create one per process. */
export class Metrics {
  readonly registry = new Registry()
  readonly requests = new Counter({
    name: 'agatepond_requests_total', help: 'Requests by kind, place and outcome', labelNames: ['kind', 'place', 'outcome'] as const, registers: [this.registry]
  })

  readonly callers = new Gauge({ name: 'agatepond_callers', help: 'Open connections of callers', registers: [this.registry] })
  readonly slots = new Gauge({ name: 'agatepond_slots', help: 'Slots held by this process', registers: [this.registry] })
  readonly configVersion = new Gauge({ name: 'agatepond_config_version', help: 'Version of the configuration in force', registers: [this.registry] })
  readonly promotions = new Counter({ name: 'agatepond_promotions_total', help: 'Promotions ordered by this process', registers: [this.registry] })
  readonly audit = auditMetrics(this.registry)

  private constructor () {
    collectDefaultMetrics({ register: this.registry })
  }

  static create (): Metrics {
    return new Metrics()
  }
}
