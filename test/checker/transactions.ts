/** Statements of different transactions in one result. */

import type { Breach } from './breach.ts'
import type { Call } from './call.ts'
import type { Ledger } from './ledger.ts'
import { partOf } from './part.ts'

type Write = Extract<Call, { kind: 'write' }>
type Read = Extract<Call, { kind: 'read' }>

/**
 * A transaction is seen whole or not at all, nobody sees it before its COMMIT
 * was called, and it sees its own statements.
 */
export function findMixed (ledger: Ledger): readonly Breach[] {
  const byTransaction = new Map<string, Write[]>()
  for (const write of ledger.writes) {
    if (write.transaction === undefined || write.outcome !== 'done') continue
    byTransaction.set(write.transaction, [...byTransaction.get(write.transaction) ?? [], write])
  }
  return ledger.reads.flatMap(read => [
    ...findTorn(ledger, read, byTransaction),
    ...findEarly(ledger, read),
    ...findOwnMissing(read, byTransaction)
  ])
}

function findTorn (ledger: Ledger, read: Read, byTransaction: ReadonlyMap<string, readonly Write[]>): readonly Breach[] {
  const shown = new Set(read.rows.flatMap(row => row.values))
  const asked = new Set(read.rows.map(row => row.key))
  const seen = [...shown].flatMap(value => ledger.tries(value)).filter(write => write.transaction !== undefined)
  return seen.flatMap(write => {
    if (write.transaction === read.transaction) return []
    const other = byTransaction.get(write.transaction!)?.find(one =>
      one.group === read.group && asked.has(one.key) && !shown.has(one.value))
    if (other === undefined) return []
    return [breach(
      [...new Set([...ledger.callsOf(write), ...ledger.callsOf(other), read])],
      `it shows ${write.value} and not ${other.value} of the same transaction`)]
  })
}

function findEarly (ledger: Ledger, read: Read): readonly Breach[] {
  return read.rows.flatMap(row => row.values).flatMap(value => ledger.tries(value)).flatMap(write => {
    if (write.transaction === undefined || write.transaction === read.transaction) return []
    const commit = ledger.settling(write)
    if (commit === undefined || commit.from < read.to) return []
    return [breach([write, read, commit], `it shows ${write.value} before the COMMIT of its transaction was called`)]
  })
}

function findOwnMissing (read: Read, byTransaction: ReadonlyMap<string, readonly Write[]>): readonly Breach[] {
  if (read.transaction === undefined) return []
  const own = byTransaction.get(read.transaction) ?? []
  const shown = new Set(read.rows.flatMap(row => row.values))
  return own
    .filter(write => write.group === read.group && write.to <= read.from && read.keys.includes(write.key) && !shown.has(write.value))
    .map(write => breach([write, read], `the transaction doesn't see its own ${write.value}`))
}

function breach (calls: readonly Call[], verdict: string): Breach {
  return { kind: 'transactions mixed', part: partOf({ calls }), verdict }
}
