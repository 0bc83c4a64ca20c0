/** Runs one script from its begin to the report. */

import type { GroupId } from '../../src/core/id/group.ts'
import type { SessionId } from '../../src/core/id/session.ts'
import type { Script } from '../language/script.ts'
import { CallerReply } from './callerreply.ts'
import { Callers } from './callers.ts'
import { Clock } from './clock.ts'
import { withDialing } from './dialing.ts'
import { bringAbout } from './faults.ts'
import { readOf } from './readof.ts'
import { reportOf } from './report.ts'
import { withTimers } from './timers.ts'
import { World } from './world.ts'

const KEYS = ['k1', 'k2', 'k3', 'k4', 'k5', 'k6', 'k7', 'k8']
/** Proxies know their groups before a script's time begins. */
const WARM_UP_MS = 2000
/** Time for what is still under way when the script ends; then all faults are mended and the group is read. */
const SETTLE_MS = 5000
const LAST_READ_MS = 10_000
const STEP_MS = 50

/** The same script and seed yield the same report, trace included, to the byte. */
export async function runScript (given: Script, seed = given.seed): Promise<ReturnType<typeof reportOf>> {
  const script = shifted(given)
  const clock = Clock.create()
  return await withTimers(clock, async () => await runOn(clock, script, seed))
}

async function runOn (clock: Clock, script: Script, seed: number): Promise<ReturnType<typeof reportOf>> {
  const world = World.create(clock, script, seed)
  return await withDialing(async address => await world.dial(address), async () => await play(world, script))
}

async function play (world: World, script: Script): Promise<ReturnType<typeof reportOf>> {
  await world.start()
  script.loads.forEach((load, i) => Callers.start(world, load, `s${i === 0 ? '' : `${i}-`}`))
  for (const { at, fault } of script.faults) world.clock.after(at, () => bringAbout(world, fault))
  await world.clock.runUntil(script.runMs)
  mend(world)
  await world.clock.runUntil(script.runMs + SETTLE_MS)
  const isSettled = await readAll(world, script)
  world.recorder.close()
  return reportOf(script, world, isSettled)
}

function shifted (script: Script): Script {
  return {
    ...script,
    runMs: script.runMs + WARM_UP_MS,
    faults: script.faults.map(one => ({ ...one, at: one.at + WARM_UP_MS })),
    loads: script.loads.map(load => ({ ...load, from: load.from + WARM_UP_MS, to: load.to + WARM_UP_MS }))
  }
}

function mend (world: World): void {
  world.recorder.note('mend')
  world.platform.mode = { kind: 'up' }
  world.network.heal()
  for (const node of world.nodes('all')) world.restart(node)
}

/** Reads every key strictly, through a proxy. False when some group can't be read any more. */
async function readAll (world: World, script: Script): Promise<boolean> {
  const { recorder, clock } = world
  let settled = 0
  let answered = 0
  for (const group of script.groups) {
    const proxy = world.live[0]
    if (proxy === undefined) return false
    const strict = { kind: 'strict' } as const
    const base = { session: 'auditor', host: proxy.id, group, keys: KEYS, freshness: strict, rows: [], isFinal: true } as const
    const id = recorder.begin({ ...base, kind: 'read', from: clock.now })
    const reply = CallerReply.create()
    proxy.accept('auditor' as SessionId, group as GroupId).query(readOf(KEYS, strict), reply.asReply).then(() => {
      recorder.end(id, { outcome: reply.outcome, rows: reply.values })
      answered++
      if (reply.outcome === 'done') settled++
    })
  }
  const end = clock.now + LAST_READ_MS
  while (answered < script.groups.length && clock.now < end) await clock.runUntil(clock.now + STEP_MS)
  return settled === script.groups.length
}
