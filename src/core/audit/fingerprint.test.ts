/** A fingerprint keeps the shape of a statement and none of its values. */

import { describe, expect, it } from 'vitest'
import { fingerprint } from './fingerprint.ts'

describe('fingerprint', () => {
  it.each([
    ["SELECT * FROM t1 WHERE a = 'x''y' AND b=2.5e-3", 'SELECT * FROM t1 WHERE a = ? AND b=?'],
    ["/* once=k */ INSERT INTO t VALUES (1, 'a'), (2, \"b\")", 'INSERT INTO t VALUES (?, ...)'],
    ["UPDATE `my 1 table` SET x = 0xAF, y = x'0a' -- secret 5", 'UPDATE `my 1 table` SET x = ?, y = ?'],
    ["SELECT 'never ends, secret 7", 'SELECT ?'],
    ["SELECT 'a\\'b secret' , col_9", 'SELECT ? , col_9'],
    ['SELECT -12 + .5', 'SELECT -? + .?'],
    ['SELECT /* never ends, secret', 'SELECT']
  ])('of %s is %s', (sql, shape) => {
    expect(fingerprint(sql)).toBe(shape)
  })

  it('has a maximum length', () => {
    expect(fingerprint(`SELECT ${'a, '.repeat(500)} b`).length).toBe(203)
  })
})
