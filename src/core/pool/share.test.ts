/** How an endpoint's connections are dealt. */

import { expect, it } from 'vitest'
import { shareOf } from './share.ts'

it.each([[16, 7, 2], [30, 7, 4], [16, 10, 1], [16, 64, 1], [1, 1, 1], [3, 0, 1]])('%d connections, %d hosts: %d each', (connections, hosts, expected) => {
  expect(shareOf(connections, hosts)).toBe(expected)
})
