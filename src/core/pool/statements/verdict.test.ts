/** Guards against running a write twice, and against reporting one as not run that may have run. */

import { describe, expect, it } from 'vitest'
import type { Ending } from './ending.ts'
import { verdictOf } from './verdict.ts'

type Where = 'alone' | 'first' | 'later' | 'afterWrite'

function verdict (what: 'read' | 'write' | 'commit', where: Where, ending: Ending): string {
  const isInTransaction = where !== 'alone'
  const result = verdictOf(ending, { what, isInTransaction, isFirst: where === 'alone' || where === 'first', hasWritten: where === 'afterWrite' })
  return result.kind === 'elsewhere' ? 'elsewhere' : result.fault
}

describe('the verdict', () => {
  it.each<['read' | 'write' | 'commit', Where, Ending, string]>([
    ['read', 'alone', 'busy', 'elsewhere'],
    ['read', 'alone', 'behind', 'elsewhere'],
    ['read', 'alone', 'broken', 'elsewhere'],
    ['read', 'alone', 'outOfTime', 'timeout'],
    // A failed read has no effect, and may have failed because of its endpoint.
    ['read', 'alone', 'failed', 'elsewhere'],
    ['read', 'alone', 'timeout', 'timeout'],
    ['write', 'alone', 'busy', 'elsewhere'],
    ['write', 'alone', 'notPrimary', 'elsewhere'],
    ['write', 'alone', 'unknownStatement', 'elsewhere'],
    ['write', 'alone', 'failed', 'failed'],
    ['write', 'alone', 'timeout', 'timeout'],
    // The connection broke after the write was sent, so it may have run.
    ['write', 'alone', 'broken', 'unknown'],
    ['write', 'alone', 'outOfTime', 'unknown'],
    // Nothing of a transaction is kept until its commit is sent.
    ['write', 'first', 'broken', 'elsewhere'],
    ['read', 'first', 'busy', 'elsewhere'],
    ['read', 'first', 'outOfTime', 'aborted'],
    ['read', 'first', 'failed', 'failed'],
    ['read', 'first', 'timeout', 'timeout'],
    ['read', 'later', 'failed', 'failed'],
    ['read', 'later', 'broken', 'aborted'],
    ['read', 'afterWrite', 'failed', 'failed'],
    ['write', 'first', 'failed', 'failed'],
    ['write', 'later', 'failed', 'failed'],
    ['commit', 'first', 'failed', 'failed'],
    ['commit', 'afterWrite', 'failed', 'failed'],
    ['write', 'later', 'broken', 'aborted'],
    ['read', 'later', 'notPrimary', 'notPrimary'],
    ['read', 'later', 'unknownStatement', 'aborted'],
    ['commit', 'first', 'busy', 'busy'],
    ['commit', 'later', 'broken', 'aborted'],
    ['commit', 'afterWrite', 'broken', 'unknown'],
    ['commit', 'afterWrite', 'outOfTime', 'unknown'],
    ['commit', 'afterWrite', 'notPrimary', 'notPrimary']
  ])('%s %s, %s: %s', (what, where, ending, expected) => expect(verdict(what, where, ending)).toBe(expected))
})
