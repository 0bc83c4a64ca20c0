/** How long after its acceptance a patch is in force on seven real processes. */

import { Stage } from '../standin/stage.ts'
import type { Benchmark } from './benchmark.ts'

/** As many hosts as each user has today. */
const PROXIES = 7
const PATCHES = 10
const PAUSE_MS = 10

export const patches: Benchmark = {
  name: 'patches',
  // Bare times have no bounds; the promise is 2 s.
  bounds: [],
  async run () {
    const stage = await Stage.start({ proxies: PROXIES })
    try {
      const times: number[] = []
      for (let base = 1; base <= PATCHES; base++) times.push(await spread(stage, base))
      return {
        'mean ms from acceptance to the last proxy': times.reduce((sum, ms) => sum + ms, 0) / PATCHES,
        'slowest ms from acceptance to the last proxy': Math.max(...times)
      }
    } finally {
      await stage.stop()
    }
  }
}

/** Begins when the command says "accepted", which is a little after the store took the patch. */
async function spread (stage: Stage, base: number): Promise<number> {
  const { code, stderr } = await stage.patch(base, { change: { groups: [{ id: 'shop', connectionsPerSlot: 16 + base % 2 }] } })
  if (code !== 0) throw new Error(stderr)
  const began = performance.now()
  while (!(await versions(stage)).every(version => version === base + 1)) {
    await new Promise(resolve => { setTimeout(resolve, PAUSE_MS) })
  }
  return performance.now() - began
}

async function versions (stage: Stage): Promise<readonly number[]> {
  return await Promise.all(stage.proxies.map(async (_, i) =>
    Number(/^agatepond_config_version (\d+)$/m.exec(await stage.metrics(i))?.[1])))
}
