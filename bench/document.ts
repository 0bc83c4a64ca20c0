/** What a configuration costs a node by its size: bytes, processor time, memory. */

import { gzipSync } from 'node:zlib'
import type { ConfigVersion } from '../src/core/id/version.ts'
import type { Json } from '../src/core/json.ts'
import { Change } from '../src/core/config/change.ts'
import { ConfigHolder } from '../src/core/config/configholder.ts'
import type { Benchmark } from './benchmark.ts'
import { documentOf } from './documents.ts'

const SIZES = [500, 1500, 4500] as const
const ROUNDS = 20
const NONE = 0 as ConfigVersion
const CHANGE: Json = { groups: [{ id: 'booking-7', connectionsPerSlot: 31 }] }

export const document: Benchmark = {
  name: 'document',
  // A change is sent in place of the whole, so it mustn't grow with the document.
  bounds: [{ figure: 'bytes of a change at 4500', atMost: 1000 }],
  async run () {
    const figures: Array<[string, number]> = []
    for (const size of SIZES) figures.push(...measure(size))
    return Object.fromEntries(figures)
  }
}

function measure (size: number): ReadonlyArray<[string, number]> {
  const before = heap()
  const body = documentOf(size)
  const json = JSON.stringify(body)
  const holder = ConfigHolder.empty.offer({ version: 1 as ConfigVersion, base: NONE, body })._unsafeUnwrap()
  const held = heap() - before - json.length
  const changed = { version: 2 as ConfigVersion, base: 1 as ConfigVersion, body: CHANGE }
  const after = Change.of(CHANGE).apply(body)._unsafeUnwrap()
  return [
    [`bytes of the whole at ${size}`, json.length],
    [`bytes of the whole, gzip, at ${size}`, gzipSync(json).length],
    [`bytes of a change at ${size}`, JSON.stringify(Change.between(body, after).json).length],
    [`heap bytes held at ${size}`, held],
    [`ms to take a change at ${size}`, cpuMs(() => holder.offer(changed))],
    [`ms to take the whole at ${size}`, cpuMs(() => ConfigHolder.empty.offer({ version: 2 as ConfigVersion, base: NONE, body: JSON.parse(json) as Json }))]
  ]
}

/** Mean processor time of a call. */
function cpuMs (act: () => void): number {
  act()
  const began = process.cpuUsage()
  for (let i = 0; i < ROUNDS; i++) act()
  const { user, system } = process.cpuUsage(began)
  return (user + system) / 1000 / ROUNDS
}

/** With `--expose-gc` the figure is what is held, else it's an upper bound. */
function heap (): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}
