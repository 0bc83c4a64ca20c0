/**
 * The failover gap by its cause, on real processes. A gap is the longest time
 * round the fault in which no caller of any proxy got an acknowledgement; the
 * gap of all is over when every proxy has acknowledged a write that was asked
 * for after the fault.
 */

import { Stage } from '../standin/stage.ts'
import { Callers } from '../test/failover/callers.ts'
import { leave } from '../test/failover/leave.ts'
import type { Benchmark } from './benchmark.ts'

type Cause = 'killed' | 'cut' | 'frozen' | 'planned'

const CAUSES: readonly Cause[] = ['killed', 'cut', 'frozen', 'planned']
const PROXIES = [0, 1, 2]
const RUNS = Number(process.env.FAILOVER_RUNS ?? 20)
const WARM_WRITES = 60
const WARM_MS = 300
const LIMIT_MS = 15_000

export const failover: Benchmark = {
  name: 'failover',
  bounds: CAUSES.map(cause => ({ figure: `${cause}.faults`, atMost: 0 })),

  async run () {
    const figures: Record<string, number> = {}
    for (const cause of CAUSES) Object.assign(figures, await measure(cause))
    return figures
  }
}

async function measure (cause: Cause): Promise<Record<string, number>> {
  const first: number[] = []
  const all: number[] = []
  let faults = 0
  let unknown = 0
  for (let i = 0; i < RUNS; i++) {
    const one = await once(cause)
    first.push(one.first)
    all.push(one.all)
    faults += one.faults
    unknown += one.unknown
  }
  return {
    [`${cause}.runs`]: RUNS,
    [`${cause}.medianMs`]: median(first),
    [`${cause}.worstMs`]: Math.round(Math.max(...first)),
    [`${cause}.medianOfAllMs`]: median(all),
    [`${cause}.worstOfAllMs`]: Math.round(Math.max(...all)),
    [`${cause}.unknown`]: unknown,
    [`${cause}.faults`]: faults
  }
}

async function once (cause: Cause): Promise<{ first: number, all: number, faults: number, unknown: number }> {
  const stage = await Stage.start({ proxies: PROXIES.length })
  try {
    const callers = await Callers.start(stage, PROXIES)
    await callers.progress(WARM_WRITES)
    await pause(WARM_MS)
    const primary = await stage.primary('shop')
    const began = performance.now()
    await fail(stage, primary, cause)
    await over(stage, callers, primary, began)
    const { errors } = await callers.stop()
    return {
      first: longestPause(callers.times.map(one => one.done), began),
      all: Math.max(...PROXIES.map(proxy => callers.resumed(proxy, began))) - began,
      faults: (await callers.faults(1)).length,
      unknown: (errors[UNCONFIRMED] ?? 0) + (errors[LOST] ?? 0)
    }
  } finally {
    await stage.stop()
  }
}

const UNCONFIRMED = 3024
const LOST = 2013

async function fail (stage: Stage, primary: string, cause: Cause): Promise<void> {
  const { child } = stage.endpoints.find(one => one.id === primary)!
  switch (cause) {
    case 'killed': return child.signal('SIGKILL')
    case 'frozen': return child.signal('SIGSTOP')
    case 'cut':
      await stage.endpoint(primary, { cut: true })
      return
    case 'planned': return await leave(stage, primary)
  }
}

/** Resolves when another endpoint is primary and every proxy has acknowledged a write that it was asked for after that. */
async function over (stage: Stage, callers: Callers, primary: string, began: number): Promise<void> {
  const others = stage.endpoints.filter(one => one.id !== primary)
  while (performance.now() - began < LIMIT_MS) {
    const states = await Promise.all(others.map(async one => await stage.endpoint(one.id)))
    if (states.some(one => one.role === 'primary')) break
    await pause(10)
  }
  const replaced = performance.now()
  while (performance.now() - began < LIMIT_MS && PROXIES.some(proxy => callers.resumed(proxy, replaced) === Infinity)) await pause(10)
}

/** The longest time between two acknowledgements of which the second came after `began`. */
function longestPause (times: readonly number[], began: number): number {
  const sorted = [...times].sort((a, b) => a - b)
  return Math.max(...sorted.map((time, i) => time > began && i > 0 ? time - sorted[i - 1]! : 0))
}

function median (values: readonly number[]): number {
  return Math.round([...values].sort((a, b) => a - b)[Math.floor(values.length / 2)]!)
}

async function pause (ms: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, ms) })
}
