/** The conditions of the table service, in the subset that agatepond uses. */

import type { Item } from './item.ts'

type Values = Readonly<Record<string, unknown>>
type Names = Readonly<Record<string, string>>

/**
 * Evaluates comparisons and attribute_exists / attribute_not_exists joined by AND.
 * Throws on anything else, so that a test can't pass by a condition that nobody checked.
 */
export function holdsCondition (expression: string | undefined, item: Item | undefined, names: Names = {}, values: Values = {}): boolean {
  if (expression === undefined) return true
  return expression.split(/\s+AND\s+/i).every(term => holdsTerm(term.trim(), item, names, values))
}

function holdsTerm (term: string, item: Item | undefined, names: Names, values: Values): boolean {
  const exists = /^attribute_(not_)?exists\(\s*([#\w]+)\s*\)$/.exec(term)
  if (exists !== null) {
    const has = item?.[names[exists[2]!] ?? exists[2]!] !== undefined
    return exists[1] === undefined ? has : !has
  }
  const compare = /^([#\w]+)\s*(=|<>|<=|>=|<|>)\s*(:\w+)$/.exec(term)
  if (compare === null) throw new Error(`condition not supported by the stand-in: ${term}`)
  const left = plain(item?.[names[compare[1]!] ?? compare[1]!])
  const right = plain(values[compare[3]!])
  if (left === undefined || right === undefined) return compare[2] === '<>'
  switch (compare[2]) {
    case '=': return left === right
    case '<>': return left !== right
    case '<': return left < right
    case '<=': return left <= right
    case '>': return left > right
    default: return left >= right
  }
}

function plain (value: unknown): string | number | undefined {
  if (value === undefined) return undefined
  const { S, N, BOOL } = value as { S?: string, N?: string, BOOL?: boolean }
  if (N !== undefined) return Number(N)
  return S ?? String(BOOL)
}
