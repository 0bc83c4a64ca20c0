/** What an owner knows of an endpoint by its answers. */

import { describe, expect, it } from 'vitest'
import type { Instant } from '../../id/instant.ts'
import { ResponseStats } from './responsestats.ts'

/** Answers as `at:ms`, `at:x` for a failure; `at:ms/crowd`. */
function answers (...texts: string[]): ResponseStats {
  const it = ResponseStats.create()
  for (const text of texts) {
    const [at, what] = text.split(':') as [string, string]
    const now = Number(at) as Instant
    const [ms, crowd = '1'] = what.split('/') as [string, string?]
    if (what === 'x') it.failed(now)
    else it.done(Number(ms), Number(crowd), now)
  }
  return it
}

const each = (everyMs: number, ...whats: string[]) => whats.map((what, i) => `${i * everyMs}:${what}`)
const repeat = (times: number, ...whats: string[]) => Array.from({ length: times }, () => whats).flat()

describe('what answers show', () => {
  it.each<[string, string[], number, number | undefined, number]>([
    ['nothing yet', [], 0, undefined, 0],
    ['one answer', ['0:20'], 10, 20, 0],
    ['one that is too long ago', ['0:20'], 2001, undefined, 0],
    ['all failed', each(100, ...repeat(20, 'x')), 2000, undefined, 1],
    ['one failure after a pause is most of what is known', ['0:20', '5000:x'], 5000, undefined, 0.75],
    ['a failure that is too long ago', ['0:x'], 2001, undefined, 0]
  ])('%s', (_, texts, now, answerMs, failing) => {
    const it = answers(...texts)
    expect(it.answerMs(now as Instant)).toBe(answerMs)
    expect(it.failing(now as Instant)).toBeCloseTo(failing, 1)
  })

  it('half of them fail, and the part is about a half', () => {
    const failing = answers(...each(10, ...repeat(50, '20', 'x'))).failing(1000 as Instant)
    expect(Math.abs(failing - 0.5)).toBeLessThan(0.1)
  })

  it('an endpoint whose queue is long isn\'t a slow one: its work on each is the same', () => {
    const paceMs = (...whats: string[]) => answers(...each(10, ...whats)).serviceTimeMs(100 as Instant)
    expect(paceMs('20', '20')).toBe(20)
    expect(paceMs('60/3', '60/3')).toBe(20)
  })
})
