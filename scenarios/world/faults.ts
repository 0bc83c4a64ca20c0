/** Brings about the faults of a script. */

import type { EndpointId } from '../../src/core/id/endpoint.ts'
import type { ConfigVersion } from '../../src/core/id/version.ts'
import { ConfigStore } from '../../src/shell/config/store.ts'
import { Submission } from '../../src/shell/config/submission.ts'
import type { ObjectStore } from '../../src/shell/platform/objectstore.ts'
import type { Script } from '../language/script.ts'
import type { Endpoint } from './endpoint.ts'
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

/** One operator's patch against the newest version, as `agatepond patch` submits it. */
async function patch (world: World): Promise<void> {
  const { recorder } = world
  const base = world.platform.newestVersion as ConfigVersion
  await world.clock.sleep(world.chance.next() * RACE_MS)
  const reach = async <T>(work: () => Promise<T>): Promise<T> => await Promise.race([work(), timeout(world)])
  const store = ConfigStore.of(world.platform.table(reach), undefined as unknown as ObjectStore)
  const id = `patch-${world.nextPatch()}`
  const verdict = await Submission.of(store, { base, id, by: 'operator', why: 'a run', at: 0, body: world.documentWith(id) }).run()
  recorder.note(`patch ${base} ${verdict.kind}`)
  if (verdict.kind === 'accepted') recorder.accepted.push({ version: verdict.version, at: world.clock.now })
}

async function timeout (world: World): Promise<never> {
  await world.clock.sleep(OPERATOR_TIMEOUT_MS)
  throw new Error('the store does not answer')
}
