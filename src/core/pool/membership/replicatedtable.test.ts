/** Which rows a table takes, whoever brings them. */

import { describe, expect, it } from 'vitest'
import type { Row } from './row.ts'
import { ReplicatedTable } from './replicatedtable.ts'

/** `a3` is the row a in version 3, `-a3` its end. */
function rows (text: string): readonly Row[] {
  return text.split(' ').filter(one => one !== '').map(one => {
    const isErased = one.startsWith('-')
    const [key, ...digits] = isErased ? one.slice(1) : one
    return { key: key!, version: Number(digits.join('')), value: isErased ? undefined : 'x' }
  })
}

/** Steps as `whole@VERSION ROWS` or `changed@VERSION ROWS`; what the last one brought, and what is there then. */
function after (...steps: string[]): string {
  let table = ReplicatedTable.empty
  let last: readonly Row[] = []
  for (const step of steps) {
    const [, kind, version, text] = /^(\w+)@(\d+) ?(.*)$/.exec(step)!
    const { next, changedRows: news } = kind === 'whole' ? table.applySnapshot(rows(text!), Number(version)) : table.applyChanges(rows(text!), Number(version))
    table = next
    last = news
  }
  return `${format(last)} of ${format(table.rows)} at ${table.version}`
}

function format (all: readonly Row[]): string {
  return all.map(({ key, version, value }) => `${value === undefined ? '-' : ''}${key}${version}`).sort().join(' ')
}

it.each<[string, string[], string]>([
  ['all is news at first', ['whole@5 a3 b4'], 'a3 b4 of a3 b4 at 5'],
  ['a change is news', ['whole@5 a3 b4', 'changed@7 a6'], 'a6 of a6 b4 at 7'],
  ['what was told before is none', ['whole@5 a3', 'changed@5 a3'], ' of a3 at 5'],
  ['an older change is passed over, whoever brings it', ['whole@9 a8', 'changed@7 a6'], ' of a8 at 9'],
  ['an older whole table is passed over', ['whole@9 a8 b2', 'whole@7 a6'], ' of a8 b2 at 9'],
  ['what a newer whole table lacks was erased', ['whole@5 a3 b4', 'whole@8 a3'], '-b8 of a3 at 8'],
  ['an erased row stays so', ['whole@5 a3', 'changed@7 -a6', 'changed@6 a3'], ' of  at 7'],
  ['a row may come again', ['whole@5 a3', 'changed@7 -a6', 'changed@9 a8'], 'a8 of a8 at 9'],
  ['no change at all carries the version on', ['whole@5 a3', 'changed@8'], ' of a3 at 8']
])('%s', (_, steps, expected) => expect(after(...steps)).toBe(expected))

describe('what is told to a host that is behind', () => {
  const table = ReplicatedTable.empty.applySnapshot(rows('a3 b4'), 5).next.applyChanges(rows('-a6'), 7).next

  it('is what changed after its version', () => expect(format(table.since(5)!)).toBe('-a6'))
  it('is all that ever came, for one that knows nothing', () => expect(format(table.since(0)!)).toBe('-a6 b4'))

  it('is everything when the ends that it missed are forgotten', () => {
    const many = Array.from({ length: 1100 }, (_, i) => ({ key: `k${i}`, value: undefined, version: 10 + i }))
    const long = table.applyChanges(many, 2000).next
    expect([long.since(7), long.since(500)?.length]).toEqual([undefined, 609])
  })
})
