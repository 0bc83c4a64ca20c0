/**
 * Classifies a statement by its first words.
 *
 * Only a plain SELECT or SHOW may run at a replica. Anything not known to be a read counts as a write: a wrong guess then loads the
 * primary but never gives a stale or lost answer.
 */

import { skipLeadingTrivia } from './trivia.ts'

type StatementKind = 'read' | 'write' | 'begin' | 'commit' | 'rollback' | 'set' | 'use'

const LOCKING_READ = /\bfor\s+(update|share)\b|\block\s+in\s+share\s+mode\b|\binto\s+(outfile|dumpfile|@)/i

/** Functions with side effects or bound to one connection; a statement with them isn't a read. */
const SIDE_EFFECT = /\b(get_lock|release_lock|release_all_locks|last_insert_id|sleep|found_rows|row_count)\s*\(|:=/i

const KINDS: ReadonlyMap<string, StatementKind> = new Map([
  ['select', 'read'],
  ['show', 'read'],
  ['desc', 'read'],
  ['describe', 'read'],
  ['explain', 'read'],
  ['begin', 'begin'],
  ['start', 'begin'],
  ['commit', 'commit'],
  ['rollback', 'rollback'],
  ['set', 'set'],
  ['use', 'use']
])

/** Returns the kind of one SQL statement. */
export function statementKind (sql: string): StatementKind {
  const body = skipLeadingTrivia(sql)
  const word = /^[a-z]+/i.exec(body)?.[0].toLowerCase() ?? ''
  const kind = KINDS.get(word) ?? 'write'
  if (kind === 'begin' && word === 'start' && !/^start\s+transaction\b/i.test(body)) return 'write'
  if (kind === 'rollback' && /^rollback\s+(work\s+)?to\b/i.test(body)) return 'write'
  if (kind === 'read' && (LOCKING_READ.test(body) || SIDE_EFFECT.test(body))) return 'write'
  return kind
}
