/** The little SQL that fake endpoints know: lists, transactions, and the ledger of idempotency keys. */

import { skipLeadingTrivia } from '../../src/core/routing/trivia.ts'
import type { Change } from './change.ts'

type Statement =
  | { readonly kind: 'begin' | 'commit' | 'rollback' | 'create' }
  | { readonly kind: 'read', readonly keys: readonly string[] }
  | { readonly kind: 'lookup', readonly id: string }
  | { readonly kind: 'change', readonly change: Change }
  | { readonly kind: 'verb', readonly name: string, readonly args: ReadonlyArray<string | number> }

interface Form {
  readonly pattern: RegExp
  readonly read: (groups: readonly string[]) => Statement
}

const change = (value: Change): Statement => ({ kind: 'change', change: value })

const FORMS: readonly Form[] = [
  { pattern: /^BEGIN$/, read: () => ({ kind: 'begin' }) },
  { pattern: /^COMMIT$/, read: () => ({ kind: 'commit' }) },
  { pattern: /^ROLLBACK$/, read: () => ({ kind: 'rollback' }) },
  {
    pattern: /^CALL agatepond\.(\w+)\((.*)\)$/,
    read: ([name, args]) => ({ kind: 'verb', name: name!, args: JSON.parse(`[${args!.replaceAll("'", '"')}]`) as Array<string | number> })
  },
  { pattern: /^CREATE TABLE /, read: () => ({ kind: 'create' }) },
  { pattern: /^SELECT 1$/, read: () => ({ kind: 'read', keys: [] }) },
  { pattern: /^SELECT k, v FROM list WHERE k IN \((.*)\)$/, read: ([keys]) => ({ kind: 'read', keys: keys!.replaceAll("'", '').split(',') }) },
  { pattern: /^INSERT INTO list \(k, v\) VALUES \('(.*)','(.*)'\)$/, read: ([key, value]) => change({ kind: 'append', key: key!, value: value! }) },
  { pattern: /^INSERT INTO \w+ \(id, .*\) VALUES \('(\w+)', '(\w+)'/, read: ([id, fingerprint]) => change({ kind: 'claim', id: id!, fingerprint: fingerprint! }) },
  {
    pattern: /^UPDATE \w+ SET affected = (\d+), insert_id = (\d+) WHERE id = '(\w+)'/,
    read: ([affected, insertId, id]) => change({ kind: 'record', id: id!, affected: Number(affected), insertId: Number(insertId) })
  },
  { pattern: /^UPDATE \w+ SET seen/, read: () => change({ kind: 'touch' }) },
  { pattern: /^SELECT fingerprint, .* WHERE id = '(\w+)'/, read: ([id]) => ({ kind: 'lookup', id: id! }) }
]

export function parseSql (sql: string): Statement {
  const text = skipLeadingTrivia(sql).trim()
  for (const { pattern, read } of FORMS) {
    const match = pattern.exec(text)
    if (match !== null) return read(match.slice(1))
  }
  throw new Error(`the fake endpoint doesn't know "${text}"; add a form to sql.ts`)
}
