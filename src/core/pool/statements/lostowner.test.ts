/** Guards against promising a rollback of a statement that may have been done when its host is gone. */

import { expect, it } from 'vitest'
import { lostOwnerFaults } from './lostowner.ts'

type Kinds = Parameters<typeof lostOwnerFaults>[0]

it.each<[string, Kinds, boolean, string]>([
  ['a read', ['read'], false, 'aborted'],
  ['a write outside a transaction', ['write'], false, 'unknown'],
  ['a prepared statement outside a transaction, which may write', ['execute'], false, 'unknown'],
  ['a write in a transaction', ['write'], true, 'aborted'],
  ['a prepared statement in a transaction', ['execute'], true, 'aborted'],
  ['a commit', ['commit'], true, 'unknown'],
  ['a session variable', ['set'], false, 'aborted'],
  ['a text that is not a statement', ['none'], false, 'aborted'],
  ['pipelined reads', ['read', 'read'], false, 'aborted aborted'],
  ['a pipelined transaction', ['begin', 'write', 'commit'], false, 'unknown unknown unknown'],
  ['a write with its commit sent after it', ['write', 'commit'], true, 'unknown unknown'],
  ['a transaction sent after the commit of another', ['commit', 'begin', 'write'], true, 'unknown unknown unknown']
])('%s', (_, kinds, isInTransaction, expected) => expect(lostOwnerFaults(kinds, isInTransaction).join(' ')).toBe(expected))
