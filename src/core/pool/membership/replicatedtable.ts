/** This process's replica of one table of the store. */

import type { Row } from './row.ts'

interface TableUpdate {
  readonly next: ReplicatedTable
  /** Rows that changed, including deleted ones, in no particular order. */
  readonly changedRows: readonly Row[]
}

/** Deleted rows that are kept, so that followers which missed a deletion get it. */
const MAX_DELETED = 1000

/**
 * Immutable; applied rows return the next value.
 *
 * Invariant: it contains every change up to `version`, and an older row never replaces a newer one. So rows may arrive from any host, in any
 * order and repeatedly.
 */
export class ReplicatedTable {
  /** `prunedUpTo`: deleted rows up to this version may have been dropped. */
  private constructor (private readonly byKey: ReadonlyMap<string, Row>, readonly version: number | undefined, private readonly prunedUpTo: number) {}

  static readonly empty = new ReplicatedTable(new Map(), undefined, 0)

  /** The rows that exist, without deleted ones. */
  get rows (): readonly Row[] {
    return [...this.byKey.values()].filter(({ value }) => value !== undefined)
  }

  /** Applies all rows that existed at the version; rows that are missing were deleted by then. */
  applySnapshot (rows: readonly Row[], version: number): TableUpdate {
    if (this.isOutdated(version)) return { next: this, changedRows: [] }
    const present = new Set(rows.map(({ key }) => key))
    const missing = this.rows.filter(({ key }) => !present.has(key)).map(({ key }) => ({ key, value: undefined, version }))
    return this.apply([...rows, ...missing], version)
  }

  /** Applies the changes from a version that this table had up to the new one. */
  applyChanges (rows: readonly Row[], version: number): TableUpdate {
    return this.isOutdated(version) ? { next: this, changedRows: [] } : this.apply(rows, version)
  }

  /** The changes after the version; undefined when some of them were dropped, so that all rows must be sent. */
  since (version: number): readonly Row[] | undefined {
    return version < this.prunedUpTo ? undefined : [...this.byKey.values()].filter(row => row.version > version)
  }

  private isOutdated (version: number): boolean {
    return this.version !== undefined && version <= this.version
  }

  private apply (rows: readonly Row[], version: number): TableUpdate {
    const changedRows = rows.filter(row => row.version > (this.byKey.get(row.key)?.version ?? 0))
    if (changedRows.length === 0) return { next: new ReplicatedTable(this.byKey, version, this.prunedUpTo), changedRows }
    const byKey = new Map(this.byKey)
    for (const row of changedRows) byKey.set(row.key, row)
    return { next: pruneDeleted(byKey, version, this.prunedUpTo, (...fields) => new ReplicatedTable(...fields)), changedRows }
  }
}

/** Drops the oldest deleted rows beyond the limit. */
function pruneDeleted (byKey: Map<string, Row>, version: number, prunedUpTo: number, make: (byKey: ReadonlyMap<string, Row>, version: number, prunedUpTo: number) => ReplicatedTable): ReplicatedTable {
  const deleted = [...byKey.values()].filter(({ value }) => value === undefined).sort((a, b) => a.version - b.version)
  const pruned = deleted.slice(0, Math.max(0, deleted.length - MAX_DELETED))
  for (const { key } of pruned) byKey.delete(key)
  return make(byKey, version, Math.max(prunedUpTo, ...pruned.map(one => one.version)))
}
