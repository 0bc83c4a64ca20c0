/** Guards against misread hints in a statement's leading comment, and against losing the connection's hints. */

import { expect, it } from 'vitest'
import { Hints } from './hints.ts'

it.each([
  ['SELECT 1', {}],
  ['/* class=urgent, read="browse" once=kit-17 */ SELECT 1', { class: 'urgent', read: 'browse', once: 'kit-17', deadlineMs: 500 }],
  ['/* CLASS=normal other=1 class=unheard session="a b" */ SELECT 1', { class: 'normal', session: 'a b', deadlineMs: 500 }],
  // Unreadable values must not override the connection's hints.
  ['/* deadline=soon token=x */ SELECT 1', { deadlineMs: 500 }],
  ['/* deadline=800ms */ SELECT 1', { deadlineMs: 800 }]
])('reads the hints of %s over a connection\'s', (sql, fields) => {
  const connection = Hints.none.with('deadline', '500ms')
  const expected = { deadlineMs: 500, ...fields }
  // Twice, since the global expression keeps its position between calls.
  for (let i = 0; i < 2; i++) expect(Hints.parse(sql).withDefaults(connection).fields).toEqual(expected)
})
