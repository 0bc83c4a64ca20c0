/**
 * The changed parts of a configuration document. A change has the form of the document, without the parts that stay as they are:
 *
 * - an object is merged key by key, and `null` removes a key;
 * - a list of entries with an `id` (or `name`) is merged entry by entry: a known entry is merged, an unknown one added, and
 *   `remove: true` removes it;
 * - an empty list clears; anything else replaces the old value.
 */

import { err, ok, type Result } from 'neverthrow'
import type { Json } from '../json.ts'
import { NamedEntries } from './namedentries.ts'

type Fields = Readonly<Record<string, Json>>

/** A change from one document to the next; small even if the documents are large. */
export class Change {
  private constructor (readonly json: Json) {}

  static of (json: Json): Change {
    return new Change(json)
  }

  /** The change from `before` to `after`, except for the order of named entries. */
  static between (before: Json, after: Json): Change {
    return new Change(valueBetween(before, after) ?? {})
  }

  /** Returns the changed document, or one line that names what can't be applied and the remedy. */
  apply (document: Json): Result<Json, string> {
    const problems: string[] = []
    const merged = merge(document, this.json, '', problems)
    return problems.length === 0 ? ok(merged) : err(problems[0]!)
  }
}

function merge (before: Json | undefined, change: Json, path: string, problems: string[]): Json {
  const known = NamedEntries.of(before)
  const changed = NamedEntries.of(change)
  if (changed !== undefined && (known !== undefined || hasRemoval(changed))) return mergeEntries(known, changed, path, problems)
  return isObject(before) && isObject(change) ? mergeFields(before, change, path, problems) : change
}

function mergeFields (before: Fields, change: Fields, path: string, problems: string[]): Json {
  const after = new Map(Object.entries(before))
  for (const [key, value] of Object.entries(change)) {
    if (value === null) after.delete(key)
    else after.set(key, merge(before[key], value, join(path, key), problems))
  }
  return Object.fromEntries(after)
}

function mergeEntries (before: NamedEntries | undefined, change: NamedEntries, path: string, problems: string[]): Json {
  const after = new Map((before?.names ?? []).map(name => [name, before!.get(name)! as Json]))
  for (const name of change.names) {
    const entry = change.get(name)!
    const known = before?.get(name)
    if (entry.remove !== true) {
      after.set(name, known === undefined ? entry : mergeFields(known, entry, join(path, name), problems))
      continue
    }
    if (known === undefined) problems.push(`${join(path, name)}: does not exist; leave its removal out`)
    after.delete(name)
  }
  return [...after.values()]
}

/** Undefined if nothing changes. */
function valueBetween (before: Json | undefined, after: Json): Json | undefined {
  if (before === undefined) return after
  const [old, next] = [NamedEntries.of(before), NamedEntries.of(after)]
  if (old !== undefined && next !== undefined && old.key === next.key) return entriesBetween(old, next)
  if (isObject(before) && isObject(after)) return fieldsBetween(before, after)
  return JSON.stringify(before) === JSON.stringify(after) ? undefined : after
}

function fieldsBetween (before: Fields, after: Fields): Fields | undefined {
  const changed: Array<[string, Json]> = Object.keys(before).filter(key => !(key in after)).map(key => [key, null])
  for (const [key, value] of Object.entries(after)) {
    const between = valueBetween(before[key], value)
    if (between !== undefined) changed.push([key, between])
  }
  return changed.length === 0 ? undefined : Object.fromEntries(changed)
}

function entriesBetween (before: NamedEntries, after: NamedEntries): Json | undefined {
  const changed: Json[] = before.names
    .filter(name => after.get(name) === undefined)
    .map(name => ({ [before.key]: name, remove: true }))
  for (const name of after.names) {
    const [old, next] = [before.get(name), after.get(name)!]
    const between = old === undefined ? next : fieldsBetween(old, next)
    if (between !== undefined) changed.push({ [before.key]: name, ...between })
  }
  return changed.length === 0 ? undefined : changed
}

function hasRemoval (entries: NamedEntries): boolean {
  return entries.names.some(name => entries.get(name)!.remove === true)
}

function isObject (value: Json | undefined): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function join (path: string, key: string): string {
  return path === '' ? key : `${path}.${key}`
}
