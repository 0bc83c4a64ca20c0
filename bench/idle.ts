/** What a proxy without callers costs, by the slots that it holds and by the peers that it's linked to. */

import { Stage } from '../standin/stage.ts'
import type { Benchmark } from './benchmark.ts'
import { scrape } from './scrape.ts'

const GROUPS = [1, 3, 6] as const
const PROXIES = [2, 4, 8] as const
/** Probes and heartbeats, from the default to what the plan's outer bound of 9 s for a failover allows. */
const PACES = ['100ms', '300ms', '1s'] as const
const SETTLE_MS = 3000
const MEASURE_MS = 6000

export const idle: Benchmark = {
  name: 'idle',
  bounds: [],
  async run () {
    const figures: Array<readonly [string, number]> = []
    for (const groups of GROUPS) figures.push(...await measure(groups, 3))
    for (const proxies of PROXIES) figures.push(...await measure(1, proxies))
    for (const pace of PACES) figures.push(...await measure(6, 3, pace))
    return Object.fromEntries(figures)
  }
}

/** Means over all proxies; each holds `groups × 6 / proxies` slots. */
async function measure (groups: number, proxies: number, probe = '100ms'): Promise<ReadonlyArray<readonly [string, number]>> {
  const stage = await Stage.start({ proxies, groups: Array.from({ length: groups }, (_, i) => `shop${i}`), extraSettings: `[failover]\nprobe = "${probe}"` })
  try {
    await sleep(SETTLE_MS)
    const [before, reads] = [await all(stage), (await stage.counts()).tableReads!]
    await sleep(MEASURE_MS)
    const [after, readsAfter] = [await all(stage), (await stage.counts()).tableReads!]
    const name = `${groups * 6 / proxies} slots, ${proxies - 1} peers, a probe each ${probe}`
    const cpu = mean(after.map((one, i) => one.cpuSeconds - before[i]!.cpuSeconds)) / (MEASURE_MS / 1000)
    return [
      [`share of a core with ${name}`, cpu],
      [`resident MB with ${name}`, mean(after.map(one => one.residentBytes)) / 2 ** 20],
      [`heap MB with ${name}`, mean(after.map(one => one.heapBytes)) / 2 ** 20],
      [`table reads/s of all with ${name}`, (readsAfter - reads) / (MEASURE_MS / 1000)]
    ]
  } finally {
    await stage.stop()
  }
}

async function all (stage: Stage): Promise<ReadonlyArray<ReturnType<typeof scrape>>> {
  return await Promise.all(stage.proxies.map(async (_, i) => scrape(await stage.metrics(i))))
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

async function sleep (ms: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, ms) })
}
