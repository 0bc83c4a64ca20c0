/** Records a promotion in the table service after it was done. */

import type { FailoverAction } from '../../core/failover/action.ts'
import type { Log } from '../log/log.ts'
import type { Metrics } from '../metrics/metrics.ts'
import type { TableService } from '../platform/tableservice.ts'

type Promotion = Extract<FailoverAction, { kind: 'record' }>

interface Options {
  readonly table: TableService
  readonly log: Log
  readonly metrics: Metrics
}

/** Counts the promotion and writes its row. The row is for information only: a failure to write it is logged and otherwise ignored. */
export function recordPromotion (action: Promotion, { table, log, metrics }: Options): void {
  metrics.promotions.inc()
  table.create({
    pk: `promotion/${action.group}`,
    sk: String(action.term).padStart(12, '0'),
    revision: 1,
    body: JSON.stringify(action)
  }).catch((err: Error) => log.write('recordFailed', { group: action.group, term: action.term, err: err.message }))
}
