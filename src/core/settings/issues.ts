/** Describes validation issues in lines that name the key, the problem and the remedy. */

import type { z } from 'zod'

type Issue = z.core.$ZodIssue

/** How the library's own messages start, which name no remedy. */
const DEFAULT_MESSAGE = /^(Invalid|Too (small|big))/

/**
 * Describes all issues, one per line, so that a file can be corrected in one go. `where` says where the known keys are listed; list entries
 * are named by their id if they have one.
 */
export function describeIssues (issues: readonly Issue[], document: unknown, where: string): string {
  return issues.flatMap(issue => describeIssue(issue, document, where)).join('\n')
}

function describeIssue (issue: Issue, document: unknown, where: string): readonly string[] {
  const path = pathOf(issue.path, document)
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => `${path === '' ? key : `${path}.${key}`}: unknown key; remove it or see ${where}`)
  }
  return [`${path === '' ? 'document' : path}: ${reasonOf(issue, valueAt(document, issue.path))}`]
}

function reasonOf (issue: Issue, value: unknown): string {
  if (issue.code === 'custom' || !DEFAULT_MESSAGE.test(issue.message)) return issue.message
  if (issue.code === 'invalid_type') {
    return value === undefined ? `is missing; write a ${kindOf(issue.expected)}` : `has the wrong type; write a ${kindOf(issue.expected)}`
  }
  if (issue.code === 'too_small') return `is too small; write ${issue.inclusive === true ? 'at least' : 'more than'} ${issue.minimum}`
  if (issue.code === 'too_big') return `is too large; write at most ${issue.maximum}`
  if (issue.code === 'invalid_value') return `${JSON.stringify(value)} isn't known; write one of ${issue.values.map(one => JSON.stringify(one)).join(', ')}`
  if (issue.code === 'invalid_format' && issue.format === 'url') return `${JSON.stringify(value)} isn't an address; write a URL such as "http://10.1.0.9:8000"`
  return issue.message
}

function kindOf (expected: string): string {
  const kinds: Readonly<Record<string, string>> = { int: 'whole number', object: 'table', array: 'list' }
  return kinds[expected] ?? expected
}

function pathOf (path: readonly PropertyKey[], document: unknown): string {
  return path.map((key, i) => {
    if (typeof key !== 'number') return String(key)
    const entry = valueAt(document, path.slice(0, i + 1)) as { readonly id?: unknown, readonly name?: unknown } | undefined
    return String(entry?.id ?? entry?.name ?? key)
  }).join('.')
}

function valueAt (document: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>((value, key) => (value as Record<PropertyKey, unknown> | undefined)?.[key], document)
}
