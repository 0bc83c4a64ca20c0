/** What an owner knows of an endpoint by its answers. */

import { describe, expect, it } from 'vitest'
import type { Instant } from '../../id/instant.ts'
import { ResponseStats } from './responsestats.ts'

/** Answers as `at:ms`, or `at:x` for a failure; `at:ms/statementsPerPlace`. */
function answers (...texts: string[]): ResponseStats {
  const stats = ResponseStats.create()
  for (const text of texts) {
    const [at, what] = text.split(':') as [string, string]
    const now = Number(at) as Instant
    const [ms, perPlace = '1'] = what.split('/') as [string, string?]
    if (what === 'x') stats.failed(now)
    else stats.done(Number(ms), Number(perPlace), now)
  }
  return stats
}

const each = (everyMs: number, ...whats: string[]) => whats.map((what, i) => `${i * everyMs}:${what}`)
const repeat = (times: number, ...whats: string[]) => Array.from({ length: times }, () => whats).flat()

describe('the statistics of answers', () => {
  it.each<[string, string[], number, number | undefined, number]>([
    ['nothing yet', [], 0, undefined, 0],
    ['one answer', ['0:20'], 10, 20, 0],
    ['one that is too long ago', ['0:20'], 2001, undefined, 0],
    ['all failed', each(100, ...repeat(20, 'x')), 2000, undefined, 1],
    ['one failure after a pause weighs most', ['0:20', '5000:x'], 5000, undefined, 0.75],
    ['a failure that is too long ago', ['0:x'], 2001, undefined, 0]
  ])('%s', (_, texts, now, answerMs, failing) => {
    const stats = answers(...texts)
    expect(stats.answerMs(now as Instant)).toBe(answerMs)
    expect(stats.failing(now as Instant)).toBeCloseTo(failing, 1)
  })

  it('half of them fail, and the failure rate is about a half', () => {
    const failing = answers(...each(10, ...repeat(50, '20', 'x'))).failing(1000 as Instant)
    expect(Math.abs(failing - 0.5)).toBeLessThan(0.1)
  })

  it('a long queue doesn\'t change the service time', () => {
    const serviceTimeMs = (...whats: string[]) => answers(...each(10, ...whats)).serviceTimeMs(100 as Instant)
    expect(serviceTimeMs('20', '20')).toBe(20)
    expect(serviceTimeMs('60/3', '60/3')).toBe(20)
  })
})
