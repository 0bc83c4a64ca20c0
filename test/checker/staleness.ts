/** Reads that miss a write which they had to show. */

import type { Breach } from './breach.ts'
import type { Call } from './call.ts'
import type { Ledger } from './ledger.ts'
import { partOf } from './part.ts'

type Write = Extract<Call, { kind: 'write' }>
type Read = Extract<Call, { kind: 'read' }>

/**
 * A read has to show its session's own acknowledged writes; a strict read all
 * that were acknowledged before it was called; a read of a stated age all that
 * were acknowledged before then. A write in doubt may be shown or not.
 */
export function findStaleness (ledger: Ledger): readonly Breach[] {
  const last = finalReads(ledger)
  return ledger.reads
    .filter(read => read.transaction === undefined)
    .flatMap(read => read.rows.flatMap(row => {
      if (!read.keys.includes(row.key)) return []
      const shown = new Set(row.values)
      return ledger.acknowledged(read.group, row.key)
        .filter(write => !shown.has(write.value) && endOf(ledger, write) <= read.from)
        .flatMap(write => judge(ledger, read, write, last.get(`${read.group}/${row.key}`)))
    }))
}

function judge (ledger: Ledger, read: Read, write: Write, last: ReadonlySet<string> | undefined): readonly Breach[] {
  const calls = [...ledger.callsOf(write), read]
  const breach = (kind: Breach['kind'], verdict: string): Breach => ({ kind, part: partOf({ calls }), verdict })
  if (read.isFinal === true) {
    return [breach('acknowledged write lost', `${write.value} was acknowledged and isn't there after the run`)]
  }
  // What is lost for good is told as lost, by the read after the run.
  if (last?.has(write.value) === false) return []
  const age = read.from - endOf(ledger, write)
  if (write.session === read.session) return [breach('read-your-writes broken', `the session doesn't see its own ${write.value}`)]
  switch (read.freshness.kind) {
    case 'session': return []
    case 'strict': return [breach('strict read stale', `${write.value} was acknowledged ${age} ms before the read was called`)]
    case 'age':
      if (age < read.freshness.ms) return []
      return [breach('stated age exceeded', `${write.value} was acknowledged ${age} ms before the read, whose age is ${read.freshness.ms} ms at most`)]
  }
}

function endOf (ledger: Ledger, write: Write): number {
  return ledger.settling(write)!.to
}

function finalReads (ledger: Ledger): ReadonlyMap<string, ReadonlySet<string>> {
  return new Map(ledger.reads
    .filter(read => read.isFinal === true)
    .flatMap(read => read.rows.map(row => [`${read.group}/${row.key}`, new Set(row.values)] as const)))
}
