/** Starts the owner of one slot with the parameters of the settings and the configuration. */

import type { Config } from '../../core/config/config.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { parseSettings } from '../../core/settings/settings.ts'
import { SlotOwner } from '../endpoint/owner.ts'
import { HeldSlot } from './heldslot.ts'

type Settings = ReturnType<ReturnType<typeof parseSettings>['_unsafeUnwrap']>
type DatabaseGroup = Config['groups'][number]
type RemainingOptions = Omit<Parameters<typeof SlotOwner.start>[0], 'addresses' | 'connections' | 'pace' | 'probeMs' | 'probeTimeoutMs' | 'endpoint'>

/** Starts to hold a slot of the endpoint, until it is handed over or closed. */
export function takeSlot (group: DatabaseGroup, endpoint: EndpointId, settings: Settings, rest: RemainingOptions): HeldSlot {
  const { failover } = settings
  const stop = new AbortController()
  const owner = SlotOwner.start({
    ...rest,
    endpoint,
    addresses: addressesOf(group, settings),
    connections: group.connectionsPerSlot,
    pace: { misses: failover.misses, rankDelayMs: failover.rankDelay, roundMs: failover.round, jitterMs: failover.jitter },
    probeMs: failover.probe,
    probeTimeoutMs: failover.probeTimeout
  }, stop.signal)
  return HeldSlot.of(owner, stop)
}

function addressesOf (group: DatabaseGroup, settings: Settings): Parameters<typeof SlotOwner.start>[0]['addresses'] {
  const { user, password, controlUser, controlPassword, connectTimeout } = settings.endpoints
  return new Map(group.endpoints.map(({ id, address }) => {
    const [ip, port] = address.split(':')
    const place = { ip: ip!, port: Number(port), database: group.database, connectMs: connectTimeout }
    return [id, {
      data: { ...place, user, password },
      control: { ...place, user: controlUser, password: controlPassword }
    }]
  }))
}
