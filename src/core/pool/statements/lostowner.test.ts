/** What is told of statements whose host is gone. */

import { expect, it } from 'vitest'
import { lostOwnerFaults } from './lostowner.ts'

type Kinds = Parameters<typeof lostOwnerFaults>[0]

// A caller's connection is cut in the middle of a statement. Its host passed the session on to another one, which was
// stopped; the caller can't tell a read from a commit that may be kept, and gives up both.
it.each<[string, Kinds, boolean, string]>([
  ['a read', ['read'], false, 'aborted'],
  ['a single write', ['write'], false, 'unknown'],
  ['a single prepared statement, which may write', ['execute'], false, 'unknown'],
  ['a write of a transaction', ['write'], true, 'aborted'],
  ['a prepared statement of a transaction', ['execute'], true, 'aborted'],
  ['a commit', ['commit'], true, 'unknown'],
  ['a value', ['set'], false, 'aborted'],
  ['what is no statement', ['none'], false, 'aborted'],
  ['reads that are sent at once', ['read', 'read'], false, 'aborted aborted'],
  ['a transaction that is sent at once', ['begin', 'write', 'commit'], false, 'unknown unknown unknown'],
  ['a write with the commit behind it', ['write', 'commit'], true, 'unknown unknown'],
  ['a transaction behind the commit of another', ['commit', 'begin', 'write'], true, 'unknown unknown unknown']
])('%s', (_, kinds, isInTransaction, expected) => expect(lostOwnerFaults(kinds, isInTransaction).join(' ')).toBe(expected))
