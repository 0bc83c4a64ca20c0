/** The differences between two configuration documents, for display. */

import type { Json } from '../json.ts'
import { NamedEntries } from './namedentries.ts'

interface Line {
  /** Path of entry names: `groups.shop.connectionsPerSlot`. */
  readonly path: string
  /** Undefined if it was added. */
  readonly before: Json | undefined
  /** Undefined if it was removed. */
  readonly after: Json | undefined
}

/** Password hashes are shown as changed, without their values. */
const SECRET = /passwordHash"?:"[^"]*"/g

/** All differences, in document order. */
export class Difference {
  private constructor (readonly lines: readonly Line[]) {}

  static between (before: Json, after: Json): Difference {
    return new Difference(linesBetween(before, after, ''))
  }

  /** One line per difference: `+` added, `-` removed, `~` changed. */
  toString (): string {
    return this.lines.map(format).join('\n')
  }
}

function linesBetween (before: Json | undefined, after: Json | undefined, path: string): readonly Line[] {
  const [old, next] = [fieldsOf(before), fieldsOf(after)]
  if (old === undefined || next === undefined) {
    return JSON.stringify(before) === JSON.stringify(after) ? [] : [{ path, before, after }]
  }
  const keys = new Set([...old.keys(), ...next.keys()])
  return [...keys].flatMap(key => linesBetween(old.get(key), next.get(key), path === '' ? key : `${path}.${key}`))
}

/** An object's fields or a list's named entries; undefined for values without parts. */
function fieldsOf (value: Json | undefined): ReadonlyMap<string, Json> | undefined {
  const entries = NamedEntries.of(value)
  if (entries !== undefined) return new Map(entries.names.map(name => [name, entries.get(name)!]))
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return undefined
  return new Map(Object.entries(value))
}

function format ({ path, before, after }: Line): string {
  if (path.endsWith('.passwordHash')) return `~ ${path}: (changed)`
  if (before === undefined) return `+ ${path}: ${text(after)}`
  if (after === undefined) return `- ${path}: ${text(before)}`
  return `~ ${path}: ${text(before)} -> ${text(after)}`
}

function text (value: Json | undefined): string {
  return JSON.stringify(value).replace(SECRET, 'passwordHash":"…"')
}
