/** Lists of a document whose entries have names, so that a change can refer to one of them. */

import type { Json } from '../json.ts'

type Entry = Readonly<Record<string, Json>>

/** Properties that may name an entry; the first one that all entries have is used. */
const KEYS = ['id', 'name'] as const

/** A list of objects by their ids (or names), in order. */
export class NamedEntries {
  private constructor (
    /** The property that names an entry. */
    readonly key: string,
    private readonly entries: ReadonlyMap<string, Entry>
  ) {}

  /** Undefined if the value isn't a list of named objects, or two entries share a name. */
  static of (value: Json | undefined): NamedEntries | undefined {
    if (!Array.isArray(value) || value.length === 0) return undefined
    const list = value as readonly Json[]
    const key = KEYS.find(one => list.every(entry => typeof nameOf(entry, one) === 'string'))
    if (key === undefined) return undefined
    const entries = new Map(list.map(entry => [nameOf(entry, key) as string, entry as Entry]))
    return entries.size === list.length ? new NamedEntries(key, entries) : undefined
  }

  get names (): readonly string[] {
    return [...this.entries.keys()]
  }

  get (name: string): Entry | undefined {
    return this.entries.get(name)
  }
}

function nameOf (entry: Json, key: string): Json | undefined {
  if (typeof entry !== 'object' || entry === null || Array.isArray(entry)) return undefined
  return (entry as Entry)[key]
}
