/** Guards against old or repeated rows that replace newer ones. */

import { describe, expect, it } from 'vitest'
import type { Row } from './row.ts'
import { ReplicatedTable } from './replicatedtable.ts'

/** `a3` is row a in version 3, `-a3` its deletion. */
function rows (text: string): readonly Row[] {
  return text.split(' ').filter(one => one !== '').map(one => {
    const isDeleted = one.startsWith('-')
    const [key, ...digits] = isDeleted ? one.slice(1) : one
    return { key: key!, version: Number(digits.join('')), value: isDeleted ? undefined : 'x' }
  })
}

/** Applies steps `whole@VERSION ROWS` or `changed@VERSION ROWS`; returns the rows that the last one changed and the rows of the table. */
function after (...steps: string[]): string {
  let table = ReplicatedTable.empty
  let last: readonly Row[] = []
  for (const step of steps) {
    const [, kind, version, text] = /^(\w+)@(\d+) ?(.*)$/.exec(step)!
    const { next, changedRows } = kind === 'whole' ? table.applySnapshot(rows(text!), Number(version)) : table.applyChanges(rows(text!), Number(version))
    table = next
    last = changedRows
  }
  return `${format(last)} of ${format(table.rows)} at ${table.version}`
}

function format (all: readonly Row[]): string {
  return all.map(({ key, version, value }) => `${value === undefined ? '-' : ''}${key}${version}`).sort().join(' ')
}

it.each<[string, string[], string]>([
  ['the first snapshot changes all rows', ['whole@5 a3 b4'], 'a3 b4 of a3 b4 at 5'],
  ['a change', ['whole@5 a3 b4', 'changed@7 a6'], 'a6 of a6 b4 at 7'],
  ['a repeated change is ignored', ['whole@5 a3', 'changed@5 a3'], ' of a3 at 5'],
  ['an older change is ignored', ['whole@9 a8', 'changed@7 a6'], ' of a8 at 9'],
  ['an older snapshot is ignored', ['whole@9 a8 b2', 'whole@7 a6'], ' of a8 b2 at 9'],
  ['a row that a newer snapshot lacks was deleted', ['whole@5 a3 b4', 'whole@8 a3'], '-b8 of a3 at 8'],
  ['a deleted row stays deleted', ['whole@5 a3', 'changed@7 -a6', 'changed@6 a3'], ' of  at 7'],
  ['a row may be added again', ['whole@5 a3', 'changed@7 -a6', 'changed@9 a8'], 'a8 of a8 at 9'],
  ['an empty change advances the version', ['whole@5 a3', 'changed@8'], ' of a3 at 8']
])('%s', (_, steps, expected) => expect(after(...steps)).toBe(expected))

describe('the changes for a host that is behind', () => {
  const table = ReplicatedTable.empty.applySnapshot(rows('a3 b4'), 5).next.applyChanges(rows('-a6'), 7).next

  it('are those after its version', () => expect(format(table.since(5)!)).toBe('-a6'))
  it('include deleted rows for a host that has nothing', () => expect(format(table.since(0)!)).toBe('-a6 b4'))

  it('are unknown when deletions that it missed were dropped', () => {
    const many = Array.from({ length: 1100 }, (_, i) => ({ key: `k${i}`, value: undefined, version: 10 + i }))
    const long = table.applyChanges(many, 2000).next
    expect([long.since(7), long.since(500)?.length]).toEqual([undefined, 609])
  })
})
