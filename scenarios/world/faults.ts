/** Brings about the faults of a script. */

import type { Script } from '../language/script.ts'
import type { Endpoint } from './endpoint.ts'
import type { EndpointId } from '../../src/core/id/endpoint.ts'
import type { World } from './world.ts'

type Fault = Script['faults'][number]['fault']

/** Operators read the newest version within this time of each other. */
const RACE_MS = 10
const OPERATOR_TIMEOUT_MS = 1000

export function bringAbout (world: World, fault: Fault): void {
  world.recorder.note(`fault ${JSON.stringify(fault)}`)
  switch (fault.kind) {
    case 'cut': {
      const some = world.nodes(fault.some)
      return world.network.cut(some, world.nodes(fault.others, some))
    }
    case 'silence': {
      const some = world.nodes(fault.some)
      return world.network.silence(some, world.nodes(fault.others, some))
    }
    case 'heal': return world.network.heal()
    case 'kill': return world.nodes(fault.place).forEach(node => world.kill(node))
    case 'restart': return world.nodes(fault.place).forEach(node => world.restart(node))
    case 'freeze': return freeze(world, fault.place, fault.ms)
    case 'lag': return world.nodes(fault.place).forEach(node => { endpointOf(world, node.id).lagMs = fault.ms })
    case 'store':
      world.platform.mode = fault.mode === 'slow' ? { kind: 'slow', ms: fault.ms } : { kind: fault.mode }
      return
    case 'patch':
      for (let i = 0; i < fault.operators; i++) patch(world)
  }
}

function freeze (world: World, place: string, ms: number): void {
  for (const node of world.nodes(place)) node.freeze(ms)
  world.listHosts()
  world.clock.after(ms, () => world.listHosts())
}

function endpointOf (world: World, id: string): Endpoint {
  const endpoint = world.endpoints.get(id as EndpointId)
  if (endpoint === undefined) throw new Error(`"${id}" isn't an endpoint; only endpoints lag`)
  return endpoint
}

/** One operator's patch against the newest version; mirrors src/cli/patch.ts. */
async function patch (world: World): Promise<void> {
  const { platform, clock, recorder } = world
  const base = platform.version
  await clock.sleep(world.chance.next() * RACE_MS)
  const timeout = clock.sleep(OPERATOR_TIMEOUT_MS).then(() => 'unknown' as const)
  const outcome = await Promise.race([platform.create({ version: base + 1, body: world.body }), timeout])
  recorder.note(`patch ${base + 1} ${outcome}`)
  if (outcome === 'created') recorder.accepted.push({ version: base + 1, at: clock.now })
}
