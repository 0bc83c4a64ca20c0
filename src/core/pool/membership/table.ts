/** One table of the store, as this process knows it. */

import type { Row } from './row.ts'

interface Taken {
  readonly next: Table
  /** Rows that changed, erased ones among them; in no order. */
  readonly news: readonly Row[]
}

/** Erased rows are remembered up to this number, so that a host that missed them is told; endpoints and hosts come and go a few thousand times a day. */
const MOST_ERASED = 1000

/**
 * Immutable; rows yield the next value.
 *
 * Invariant: everything that changed up to `version` is in it, and nothing that
 * is older than what it had ever replaces it. So it doesn't matter who
 * brings rows, in which order, or how often.
 */
export class Table {
  /** `floor`: erased rows up to this version may have been forgotten. */
  private constructor (private readonly known: ReadonlyMap<string, Row>, readonly version: number | undefined, private readonly floor: number) {}

  static readonly empty = new Table(new Map(), undefined, 0)

  /** The rows that are there. */
  get rows (): readonly Row[] {
    return [...this.known.values()].filter(({ value }) => value !== undefined)
  }

  /** All rows that were there at the version: what is missing was erased by then. */
  whole (rows: readonly Row[], version: number): Taken {
    if (this.isOld(version)) return { next: this, news: [] }
    const present = new Set(rows.map(({ key }) => key))
    const missing = this.rows.filter(({ key }) => !present.has(key)).map(({ key }) => ({ key, value: undefined, version }))
    return this.take([...rows, ...missing], version)
  }

  /** What changed, from a version that this table had up to the new one. */
  changed (rows: readonly Row[], version: number): Taken {
    return this.isOld(version) ? { next: this, news: [] } : this.take(rows, version)
  }

  /** What changed after the version; undefined when that isn't known any more, and all rows must be told. */
  since (version: number): readonly Row[] | undefined {
    return version < this.floor ? undefined : [...this.known.values()].filter(row => row.version > version)
  }

  private isOld (version: number): boolean {
    return this.version !== undefined && version <= this.version
  }

  private take (rows: readonly Row[], version: number): Taken {
    const news = rows.filter(row => row.version > (this.known.get(row.key)?.version ?? 0))
    if (news.length === 0) return { next: new Table(this.known, version, this.floor), news }
    const known = new Map(this.known)
    for (const row of news) known.set(row.key, row)
    return { next: bounded(known, version, this.floor, (...fields) => new Table(...fields)), news }
  }
}

/** Forgets the oldest erased rows beyond the bound. */
function bounded (known: Map<string, Row>, version: number, floor: number, make: (known: ReadonlyMap<string, Row>, version: number, floor: number) => Table): Table {
  const erased = [...known.values()].filter(({ value }) => value === undefined).sort((a, b) => a.version - b.version)
  const forgotten = erased.slice(0, Math.max(0, erased.length - MOST_ERASED))
  for (const { key } of forgotten) known.delete(key)
  return make(known, version, Math.max(floor, ...forgotten.map(one => one.version)))
}
