/** A random script of a seed: faults of every kind, at any moment, together or twice. */

import type { Script } from './language/script.ts'
import { Chance } from './world/chance.ts'

type Fault = Script['faults'][number]['fault']

const RUN_MS = 12_000
const LAST_FAULT_MS = 9000
const FEWEST = 3
const MORE = 5
const PLACES = ['shop-primary', 'shop-replicas', 'shop-1', 'shop-2', 'shop-3', 'host-1', 'host-4', 'shop-primary-owners', 'data-centre-b']
const NODES = ['shop-primary', 'shop-1', 'shop-2', 'host-1', 'host-2', 'host-3', 'shop-primary-owners']
const OTHERS = ['all', 'shop', 'hosts', 'data-centre-a', 'store']

/** The same seed yields the same script. */
export function randomMix (seed: number): Script {
  const chance = Chance.of(seed)
  const count = FEWEST + chance.below(MORE)
  const faults = Array.from({ length: count }, () => ({ at: chance.below(LAST_FAULT_MS), fault: randomFault(chance) }))
  return {
    title: `random mix of seed ${seed}`,
    seed,
    hosts: 7,
    groups: ['shop'],
    runMs: RUN_MS,
    faults: [...faults, ...recoveries(chance, faults)].sort((a, b) => a.at - b.at),
    loads: [{
      from: 0, to: RUN_MS - 1000, writes: 20, once: 10, transactions: 10, reads: 60, strict: 10, aged: 20, ageMs: 500, sessions: 60, isRoaming: true
    }],
    expectations: [{ figure: 'breaches', operator: '=', value: 0, text: 'no breach' }]
  }
}

function randomFault (chance: Chance): Fault {
  const faults: ReadonlyArray<() => Fault> = [
    () => ({ kind: 'cut', some: chance.pick(PLACES)!, others: chance.pick(OTHERS)! }),
    () => ({ kind: 'cut', some: 'shop-primary', others: 'group' }),
    () => ({ kind: 'silence', some: 'hosts', others: chance.pick(['shop', 'shop-primary', 'hosts'])! }),
    () => ({ kind: 'kill', place: chance.pick(NODES)! }),
    () => ({ kind: 'freeze', place: chance.pick(NODES)!, ms: 500 + chance.below(5000) }),
    () => ({ kind: 'lag', place: 'shop-replicas', ms: chance.below(3000) }),
    () => ({ kind: 'store', mode: chance.pick(['down', 'slow', 'losing answers'] as const)!, ms: 900 }),
    () => ({ kind: 'patch', operators: 1 + chance.below(3) })
  ]
  return chance.pick(faults)!()
}

/** What is cut or killed mostly comes back. */
function recoveries (chance: Chance, faults: Script['faults']): Script['faults'] {
  return faults.flatMap(({ at, fault }): Script['faults'] => {
    const later = at + 200 + chance.below(4000)
    switch (fault.kind) {
      case 'cut': return [{ at: later, fault: { kind: 'heal' } }]
      case 'kill': return [{ at: later, fault: { kind: 'restart', place: 'all' } }]
      case 'store': return [{ at: later, fault: { kind: 'store', mode: 'up', ms: 0 } }]
      default: return []
    }
  })
}
