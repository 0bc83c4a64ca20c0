/** Guards against a service time estimate that is misled by outliers, cut-off requests or a past stall. */

import { expect, it } from 'vitest'
import type { Instant } from '../id/instant.ts'
import { ServiceTime } from './servicetime.ts'

function after (samples: readonly number[], add: 'add' | 'addCutOff' = 'add'): number {
  const time = ServiceTime.create()
  samples.forEach((ms, i) => time[add](ms, i as Instant))
  return time.at(samples.length as Instant)
}

it.each<[string, readonly number[], number, number]>([
  ['follows a steady time', Array(100).fill(20), 19, 21],
  ['follows a lasting change within thirty samples', [...Array(100).fill(2), ...Array(30).fill(200)], 100, 200],
  ['moves by a fifth when one statement hangs', [...Array(100).fill(10), 30_000], 11, 12]
])('%s', (_, samples, least, most) => {
  expect(after(samples)).toBeGreaterThanOrEqual(least)
  expect(after(samples)).toBeLessThanOrEqual(most)
})

it('is never lowered by requests that are cut off', () => {
  expect(after(Array(100).fill(1), 'addCutOff')).toBe(5)
})

it('decays without samples, so that a class accepts requests again after a stall', () => {
  const time = ServiceTime.create()
  for (let i = 0; i < 100; i++) time.add(60_000, 0 as Instant)
  expect(time.at(20_000 as Instant)).toBe(5)
})

it('doesn\'t decay without samples when it\'s below the initial value', () => {
  const time = ServiceTime.create()
  for (let i = 0; i < 100; i++) time.add(1, 0 as Instant)
  expect(time.at(1e9 as Instant)).toBeLessThan(1.1)
})
