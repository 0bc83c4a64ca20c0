/** Guards against event documentation (docs/EVENTS.md) that differs from the code. */

import { readFileSync } from 'node:fs'
import { describe, expect, it } from 'vitest'
import { events } from './events.ts'

describe('the documentation of log events', () => {
  it('lists the same numbers, levels and messages as the code', () => {
    const text = readFileSync('docs/EVENTS.md', 'utf8')
    const listed = [...text.matchAll(/^\| (\d{4}) \| (\w+) \| ([^|]+?) \|/gm)].map(([, id, level, message]) => `${id} ${level} ${message}`)
    const inCode = Object.values(events).map(({ id, level, message }) => `${id} ${level} ${message}`)
    expect(listed.sort()).toEqual(inCode.sort())
  })
})
