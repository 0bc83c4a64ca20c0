/** The product's decisions, and what they're measured against. */

import { Admission } from '../../src/core/admission/admission.ts'
import type { Limits } from '../../src/core/admission/limits.ts'
import type { CallerId } from '../../src/core/id/caller.ts'
import type { AdmissionRequest } from '../../src/core/admission/request.ts'
import { FifoSlot } from '../load/fifo.ts'
import type { Policy } from '../load/policy.ts'
import { rankEndpoints } from '../../src/core/pool/reads/rankendpoints.ts'
import { AsBuilt } from './asbuilt.ts'
import type { GroupPolicy } from './policy.ts'

/** Connections of an endpoint that the spare form leaves alone. */
const RESERVE = 2
const SPARE_REST_MS = 200
/** An operation is best started within this part of its aim; the rest is for its work. */
const START_SHARE = 0.7
const REPORT_MS = 100

export const policies: readonly GroupPolicy[] = [
  AsBuilt.create(),
  AsBuilt.but('spare connections on demand', {
    share: (connections, hosts) => Math.max(1, connections - RESERVE - hosts + 1),
    restMs: () => SPARE_REST_MS
  }),
  AsBuilt.but('half of the connections', { share: (connections, hosts) => Math.max(1, Math.floor(connections / 2 / hosts)) }),
  AsBuilt.but('unused ones are kept', { restMs: () => undefined }),
  AsBuilt.but('no fair queue', { admission: limits => changed(limits, request => ({ ...request, caller: '' as CallerId })) }),
  AsBuilt.but('one class', { admission: limits => changed(limits, request => ({ ...request, rank: 1 })) }),
  AsBuilt.but('what can make its aim goes first', { aim: (askedAt, aimMs) => askedAt + aimMs * START_SHARE }),
  AsBuilt.but('first come first served', { admission: limits => FifoSlot.earlier(limits.connections) }),
  AsBuilt.but('reads go where they are answered soonest', { order: rankEndpoints, reportMs: REPORT_MS }),
  AsBuilt.but('soonest, without reports', { order: rankEndpoints, reportMs: Infinity }),
  AsBuilt.but('the sooner of two drawn by chance', { order: soonerOfTwo, reportMs: REPORT_MS })
]

/** Against a herd that all hosts make up while their reports are old: one is left out by chance. */
function soonerOfTwo (...[candidates, chance]: Parameters<typeof rankEndpoints>): ReturnType<typeof rankEndpoints> {
  const out = candidates.length < 3 ? undefined : candidates[Math.floor(chance() * candidates.length)]?.id
  const all = rankEndpoints(candidates, chance)
  return [...all.filter(id => id !== out), ...all.filter(id => id === out)]
}

/** The product's admission, told something else of each request. */
function changed (limits: Limits, change: (request: AdmissionRequest) => AdmissionRequest): Policy {
  const admission = Admission.create(limits)
  return {
    get queued () { return admission.queued },
    step: (event, now, chance) => admission.step(event.kind === 'arrived' ? { ...event, request: change(event.request) } : event, now, chance)
  }
}
