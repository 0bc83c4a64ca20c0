/** Effects that no request has a right to: doubled ones, and those of requests that were told "not run". */

import type { Breach } from './breach.ts'
import type { Call } from './call.ts'
import type { Ledger } from './ledger.ts'
import { partOf } from './part.ts'

type Read = Extract<Call, { kind: 'read' }>

/** Looks at every value that any answer shows. */
export function findEffects (ledger: Ledger): readonly Breach[] {
  return ledger.reads.flatMap(read => read.rows.flatMap(row => {
    const counts = new Map<string, number>()
    for (const value of row.values) counts.set(value, (counts.get(value) ?? 0) + 1)
    return [...counts].flatMap(([value, count]) => judge(ledger, read, value, count))
  }))
}

function judge (ledger: Ledger, read: Read, value: string, count: number): readonly Breach[] {
  const tries = ledger.tries(value)
  const calls = [...new Set(tries.flatMap(write => ledger.callsOf(write))), read]
  const part = partOf({ calls })
  if (tries.length === 0) {
    return [{ kind: "answer is another's", part, verdict: `nobody wrote ${value}` }]
  }
  if (count > 1) {
    const kind = tries[0]!.once === undefined ? 'request with two effects' : 'idempotency key with two effects'
    return [{ kind, part, verdict: `${value} is there ${count} times` }]
  }
  const isOwn = tries.some(write => write.transaction !== undefined && write.transaction === read.transaction)
  if (isOwn || !tries.every(write => ledger.isRefused(write))) return []
  if (tries.every(write => ledger.settling(write) === undefined)) {
    return [{ kind: 'transactions mixed', part, verdict: `${value} belongs to a transaction that was never committed` }]
  }
  return [{ kind: '"not run" that ran', part, verdict: `${value} is there though every try was told it had no effect` }]
}
