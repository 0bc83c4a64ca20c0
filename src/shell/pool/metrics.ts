/** The metrics of a process that pools connections. */

import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { auditMetrics } from '../audit/metrics.ts'

/** Bucket bounds in seconds: from 0.5 ms, below any round trip, to 4 s, above the longest statement. */
const SECONDS = Array.from({ length: 23 }, (_, i) => 0.0005 * 1.5 ** i)

/** Created once per process. */
export class PoolMetrics {
  readonly registry = new Registry()
  readonly statements = new Counter({
    name: 'agatepond_statements_total', help: 'Statements by database, kind and outcome', labelNames: ['database', 'kind', 'outcome'] as const, registers: [this.registry]
  })

  readonly statementSeconds = new Histogram({
    name: 'agatepond_statement_seconds', help: 'From a statement to its answer', labelNames: ['kind'] as const, buckets: SECONDS, registers: [this.registry]
  })

  readonly tries = new Counter({
    name: 'agatepond_tries_total', help: 'Tries of statements at endpoints, by how they ended', labelNames: ['ending'] as const, registers: [this.registry]
  })

  readonly trySeconds = new Histogram({
    name: 'agatepond_dependency_seconds', help: 'From a question to the answer of a dependency', labelNames: ['dependency'] as const, buckets: SECONDS, registers: [this.registry]
  })

  readonly refusals = new Counter({
    name: 'agatepond_refusals_total', help: 'Statements that were not done, by why and by class', labelNames: ['cause', 'class'] as const, registers: [this.registry]
  })

  readonly waits = new Counter({ name: 'agatepond_statement_waits_total', help: 'Waits of statements between their tries, by what for', labelNames: ['what'] as const, registers: [this.registry] })
  readonly dials = new Counter({ name: 'agatepond_dials_total', help: 'Connections opened to endpoints, by outcome', labelNames: ['outcome'] as const, registers: [this.registry] })
  readonly readsPlaced = new Counter({
    name: 'agatepond_reads_placed_total', help: 'Reads of groups whose owners share their load, by where they went', labelNames: ['at'] as const, registers: [this.registry]
  })

  readonly asides = new Counter({
    name: 'agatepond_endpoints_aside_total', help: 'Endpoints that were put aside for reads, and that came back', labelNames: ['change'] as const, registers: [this.registry]
  })

  readonly leaderChanges = new Counter({ name: 'agatepond_leader_changes_total', help: 'Changes of the primary that this process believes in', labelNames: ['group'] as const, registers: [this.registry] })
  readonly orders = new Counter({ name: 'agatepond_promotion_orders_total', help: 'Orders to promote, by outcome', labelNames: ['outcome'] as const, registers: [this.registry] })
  readonly storeFailures = new Counter({ name: 'agatepond_store_failures_total', help: 'Failed questions to the store', labelNames: ['table'] as const, registers: [this.registry] })
  readonly storeCalls = new Counter({
    name: 'agatepond_store_calls_total', help: 'Calls to the store, by what was asked, of which table and for which reason', labelNames: ['call', 'table', 'why'] as const, registers: [this.registry]
  })

  readonly tokenAsks = new Counter({ name: 'agatepond_token_asks_total', help: 'Questions for tokens of teams, by outcome', labelNames: ['outcome'] as const, registers: [this.registry] })
  readonly loadReports = new Counter({ name: 'agatepond_load_reports_total', help: 'Reports of load between owners of a group, by what became of them here', labelNames: ['what'] as const, registers: [this.registry] })
  readonly placeSeconds = new Histogram({
    name: 'agatepond_place_wait_seconds', help: 'From asking for a place at an endpoint to having it, or being refused', labelNames: ['what'] as const, buckets: SECONDS, registers: [this.registry]
  })

  readonly placesRefused = new Counter({ name: 'agatepond_places_refused_total', help: 'Statements and openings that could not have a place at an endpoint in their time', registers: [this.registry] })
  readonly placesShed = new Counter({ name: 'agatepond_places_shed_total', help: 'Statements that an endpoint refused for want of room', registers: [this.registry] })
  readonly sessions = new Gauge({ name: 'agatepond_sessions', help: 'Open sessions of callers', registers: [this.registry] })
  readonly passedOn = new Counter({ name: 'agatepond_sessions_passed_on_total', help: 'Sessions handed to a host that has connections for them', registers: [this.registry] })
  readonly passedOnEnds = new Counter({
    name: 'agatepond_sessions_passed_on_ended_total', help: 'Sessions that were handed to another host and ended there, by how and whether a statement was open', labelNames: ['cause', 'open'] as const, registers: [this.registry]
  })

  readonly configVersion = new Gauge({ name: 'agatepond_config_version', help: 'Version of the configuration in force', registers: [this.registry] })
  readonly linesDropped = new Counter({ name: 'agatepond_log_lines_dropped_total', help: 'Lines of requests that went over the budget', registers: [this.registry] })
  readonly audit = auditMetrics(this.registry)

  private constructor () {
    const memory: Gauge = new Gauge({
      name: 'process_resident_memory_bytes', help: 'Resident memory', registers: [], collect: () => memory.set(process.memoryUsage.rss())
    })
    this.registry.registerMetric(memory)
  }

  static create (): PoolMetrics {
    return new PoolMetrics()
  }
}
