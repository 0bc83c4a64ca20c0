/** Decisions of a group of endpoints, the product's and others, under its heaviest loads: a table, and a page in bench/results/policy.html. */

import { mkdirSync, writeFileSync } from 'node:fs'
import type { Benchmark } from './benchmark.ts'
import { loads } from './group/loads.ts'
import { GroupModel } from './group/model.ts'
import { pageOf } from './group/page.ts'
import { policies } from './group/policies.ts'

const SEEDS = [11, 12, 13, 14, 15]
const RESULTS = 'bench/results'

export const policyBenchmark: Benchmark = {
  name: 'policy',
  bounds: [
    { figure: 'calm | as built | inAim', atLeast: 0.97 },
    { figure: 'replicas 1.7 s behind | as built | worst', atLeast: 0.85 }
  ],
  async run () {
    const rows = loads.flatMap(load => policies.map(policy => ({
      load: load.name, policy: policy.name, runs: SEEDS.map(seed => GroupModel.run(load, policy, seed).outcomes)
    })))
    mkdirSync(RESULTS, { recursive: true })
    writeFileSync(`${RESULTS}/policy.html`, pageOf(rows))
    const figures: Record<string, number> = {}
    for (const { load, policy, runs } of rows) {
      const mean = (pick: (one: typeof runs[number]) => number) => runs.reduce((sum, one) => sum + pick(one), 0) / runs.length
      figures[`${load} | ${policy} | inAim`] = mean(one => one.inAim)
      figures[`${load} | ${policy} | worst`] = mean(one => one.worst)
      figures[`${load} | ${policy} | refused`] = mean(one => one.all.refused)
      for (const kind of runs[0]!.kinds) figures[`${load} | ${policy} | ${kind} inAim`] = mean(one => one.of(kind).inAim)
    }
    return figures
  }
}
