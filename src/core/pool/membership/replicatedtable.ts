/** One table of the store, as this process knows it. */

import type { Row } from './row.ts'

interface TableUpdate {
  readonly next: ReplicatedTable
  /** Rows that changed, erased ones among them; in no order. */
  readonly changedRows: readonly Row[]
}

/** Erased rows are remembered up to this number, so that a host that missed them is told; endpoints and hosts come and go a few thousand times a day. */
const MAX_DELETED = 1000

/**
 * Immutable; rows yield the next value.
 *
 * Invariant: everything that changed up to `version` is in it, and nothing that
 * is older than what it had ever replaces it. So it doesn't matter who
 * brings rows, in which order, or how often.
 */
export class ReplicatedTable {
  /** `floor`: erased rows up to this version may have been forgotten. */
  private constructor (private readonly byKey: ReadonlyMap<string, Row>, readonly version: number | undefined, private readonly prunedUpTo: number) {}

  static readonly empty = new ReplicatedTable(new Map(), undefined, 0)

  /** The rows that are there. */
  get rows (): readonly Row[] {
    return [...this.byKey.values()].filter(({ value }) => value !== undefined)
  }

  /** All rows that were there at the version: what is missing was erased by then. */
  applySnapshot (rows: readonly Row[], version: number): TableUpdate {
    if (this.isOutdated(version)) return { next: this, changedRows: [] }
    const present = new Set(rows.map(({ key }) => key))
    const missing = this.rows.filter(({ key }) => !present.has(key)).map(({ key }) => ({ key, value: undefined, version }))
    return this.apply([...rows, ...missing], version)
  }

  /** What changed, from a version that this table had up to the new one. */
  applyChanges (rows: readonly Row[], version: number): TableUpdate {
    return this.isOutdated(version) ? { next: this, changedRows: [] } : this.apply(rows, version)
  }

  /** What changed after the version; undefined when that isn't known any more, and all rows must be told. */
  since (version: number): readonly Row[] | undefined {
    return version < this.prunedUpTo ? undefined : [...this.byKey.values()].filter(row => row.version > version)
  }

  private isOutdated (version: number): boolean {
    return this.version !== undefined && version <= this.version
  }

  private apply (rows: readonly Row[], version: number): TableUpdate {
    const news = rows.filter(row => row.version > (this.byKey.get(row.key)?.version ?? 0))
    if (news.length === 0) return { next: new ReplicatedTable(this.byKey, version, this.prunedUpTo), changedRows: news }
    const known = new Map(this.byKey)
    for (const row of news) known.set(row.key, row)
    return { next: pruneDeleted(known, version, this.prunedUpTo, (...fields) => new ReplicatedTable(...fields)), changedRows: news }
  }
}

/** Forgets the oldest erased rows beyond the bound. */
function pruneDeleted (known: Map<string, Row>, version: number, floor: number, make: (known: ReadonlyMap<string, Row>, version: number, floor: number) => ReplicatedTable): ReplicatedTable {
  const erased = [...known.values()].filter(({ value }) => value === undefined).sort((a, b) => a.version - b.version)
  const forgotten = erased.slice(0, Math.max(0, erased.length - MAX_DELETED))
  for (const { key } of forgotten) known.delete(key)
  return make(known, version, Math.max(floor, ...forgotten.map(one => one.version)))
}
