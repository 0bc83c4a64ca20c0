/** Policies of admission under the load model: ours, our earlier slot, and plain first in, first out. */

import { Admission } from '../src/core/admission/admission.ts'
import { Limits } from '../src/core/admission/limits.ts'
import type { Benchmark } from './benchmark.ts'
import { FifoSlot } from './load/fifo.ts'
import type { Policy } from './load/policy.ts'
import { Scenario } from './load/scenario.ts'

const SEED = 11
const LOAD = 3
const { connections, allConnections, burst, settledMs } = Scenario
const limits = Limits.of(connections)

const POLICIES: Readonly<Record<string, () => Policy>> = {
  admission: () => Admission.create(limits),
  unjittered: () => Admission.create(limits.with({ jitter: 0 })),
  unbooked: () => Admission.create(limits.with({ retryShare: 1e6 })),
  earlier: () => FifoSlot.earlier(connections),
  fifo: () => FifoSlot.plain(connections)
}

export const limitsBenchmark: Benchmark = {
  name: 'limits',
  bounds: [
    { figure: 'admission.urgentInTime', atLeast: 0.99 },
    { figure: 'admission.normalInTime', atLeast: 0.99 },
    { figure: 'admission.goodputOfPeak', atLeast: 0.9 },
    { figure: 'admission.mostQueued', atMost: limits.maxQueued },
    { figure: 'admission.recoveryMs', atMost: 5000 },
    { figure: 'admission.urgentInTimeWhileBrowsing', atLeast: 0.99 },
    { figure: 'admission.normalInTimeWhileBrowsing', atLeast: 0.99 },
    { figure: 'admission.modestInTime', atLeast: 0.99 },
    { figure: 'admission.lateOfBrowsing', atMost: 50 }
  ],
  async run () {
    const figures: Record<string, number> = {}
    for (const [name, policy] of Object.entries(POLICIES)) {
      for (const [figure, value] of Object.entries(measure(policy))) figures[`${name}.${figure}`] = value
    }
    return figures
  }
}

/** Shares and counts of one policy; times are virtual, so they're the same on every machine. */
function measure (policy: () => Policy): Record<string, number> {
  const peak = Math.max(...[0.8, 1, 1.25].map(load => Scenario.steady(policy, SEED, load).goodput(burst.from, burst.to, allConnections)))
  const run = Scenario.burstOf(policy, SEED, LOAD)
  const browsing = Scenario.browsingBurst(policy, SEED, LOAD)
  const greedy = Scenario.greedy(policy, SEED)
  const goodput = run.goodput(burst.from, burst.to, allConnections)
  const settled = run.tallies.map(tally => tally.unsettledUntil(burst.to, settledMs) - burst.to)
  return {
    peakGoodput: peak,
    goodput,
    goodputOfPeak: goodput / peak,
    urgentInTime: run.tally('urgent').share(burst.from, burst.to),
    normalInTime: run.tally('normal').share(burst.from, burst.to),
    browsingInTime: run.tally('browsing').share(burst.from, burst.to),
    refusedOfBrowsing: run.tally('browsing').refused,
    lateOfBrowsing: run.tally('browsing').late,
    mostQueued: run.mostQueued,
    recoveryMs: Math.max(...settled),
    urgentInTimeWhileBrowsing: browsing.tally('urgent').share(burst.from, burst.to),
    normalInTimeWhileBrowsing: browsing.tally('normal').share(burst.from, burst.to),
    modestInTime: greedy.tally('modest').share(burst.from, burst.to),
    greedyGoodputAfter: greedy.goodput(burst.to, settledMs, allConnections)
  }
}
