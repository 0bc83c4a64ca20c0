/** Spans in which a team ran more than it was allowed. */

import type { Breach } from './breach.ts'
import type { Call } from './call.ts'
import type { Ledger } from './ledger.ts'
import { partOf } from './part.ts'

/**
 * An operation ran somewhere between its call and its answer, so only one that lies in the span with both counts for certain. A
 * transaction is one operation, which runs with its first statement.
 */
export function findExceeded ({ history: { calls, allowances } }: Ledger): readonly Breach[] {
  const operations = calls.filter(call => call.outcome === 'done' && isFirst(call, calls))
  return (allowances ?? []).flatMap(allowance => {
    const { team, windowMs, most } = allowance
    const own = operations.filter(({ holder, from, to }) => holder?.team === team && from >= allowance.from && to <= allowance.to)
    // A span that holds too many still does so when it begins with the first of them.
    const spans = own.map(({ from }) => own.filter(call => call.from >= from && call.to <= from + windowMs))
    const over = spans.find(span => span.length > most)
    if (over === undefined) return []
    const shown = [...over].sort((a, b) => a.to - b.to).slice(0, most + 1)
    return [{
      kind: 'allowance exceeded',
      part: partOf({ calls: shown, allowances: [allowance] }),
      verdict: `team ${team} ran ${over.length} operations in ${windowMs} ms, of ${most} that it was allowed`
    } as const]
  })
}

function isFirst (call: Call, calls: readonly Call[]): boolean {
  const { transaction } = call
  return transaction === undefined || calls.every(other => other.transaction !== transaction || other.outcome !== 'done' || other.from >= call.from)
}
