/** Guards against writes that are taken for reads, by a statement's first words. */

import { describe, expect, it } from 'vitest'
import { statementKind } from './statementkind.ts'

describe('statementKind', () => {
  it.each([
    ['SELECT 1', 'read'],
    ['/* class=urgent */ select 1', 'read'],
    ['(SELECT 1) UNION (SELECT 2)', 'read'],
    ['SELECT * FROM t FOR UPDATE', 'write'],
    ["SELECT GET_LOCK('a', 1)", 'write'],
    ['SELECT 1 INTO @x', 'write'],
    ['WITH a AS (SELECT 1) DELETE FROM t', 'write'],
    ['BEGIN', 'begin'],
    ['START TRANSACTION READ ONLY', 'begin'],
    ['START REPLICA', 'write'],
    ['ROLLBACK TO SAVEPOINT a', 'write'],
    ['-- note\nCOMMIT', 'commit'],
    ['nonsense', 'write'],
    ['', 'write']
  ])('%j is a %s', (sql, kind) => {
    expect(statementKind(sql)).toBe(kind)
  })
})
