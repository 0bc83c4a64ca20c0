/** Stops replicas from receiving, until a promotion, or until they are told to receive again. */

import type { EndpointId } from '../../../core/id/endpoint.ts'
import type { Term } from '../../../core/id/term.ts'
import type { EndpointStatus } from '../../../core/statement/endpointstatus.ts'
import type { Log } from '../../log/log.ts'
import type { PoolGroup } from '../group.ts'
import { askAll } from './askall.ts'
import type { Probes } from './probes.ts'

interface Options {
  readonly group: PoolGroup
  readonly probes: Probes
  readonly log: Log
}

/** Resolves with the status of those that answered. */
export async function stopReplicas (options: Options, replicas: readonly EndpointId[]): Promise<ReadonlyMap<EndpointId, EndpointStatus>> {
  const required = { ...options, isRequired: true }
  const term = options.group.term + 1 as Term
  const stopped = await askAll(required, replicas, { kind: 'pause', term })
  // A pause stops a replica only if its term is above the newest one, which this host may not have seen.
  const statuses = [...stopped.values()]
  const newest = Math.max(...statuses.map(status => status.term))
  if (newest < term || statuses.some(({ isPrimary }) => isPrimary)) return stopped
  return await askAll(required, replicas, { kind: 'pause', term: newest + 1 as Term })
}
