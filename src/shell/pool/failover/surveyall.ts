/** Asks the endpoints of a group for their log positions. */

import type { EndpointId } from '../../../core/id/endpoint.ts'
import type { Term } from '../../../core/id/term.ts'
import type { Command } from '../../../core/statement/command.ts'
import type { EndpointStatus } from '../../../core/statement/endpointstatus.ts'
import type { Log } from '../../log/log.ts'
import type { PoolGroup } from '../group.ts'
import type { Probes } from './probes.ts'

interface Options {
  readonly group: PoolGroup
  readonly probes: Probes
  readonly log: Log
  readonly old: EndpointId | undefined
  /** Whether the old primary hands over, and is asked as well. */
  readonly isHandover: boolean
  /** Whether the replicas are to stop receiving, and every one of them must be heard. */
  readonly isStopped: boolean
}

/**
 * Resolves with the status of the endpoints that answered. Where commits wait for a replica, the replicas are stopped, since the chosen
 * log might lack a commit that another replica acknowledged after it was asked. Otherwise an old primary that hands over is asked
 * before the replicas, so that a replica with its position has everything up to then.
 */
export async function surveyAll ({ group, probes, log, old, isHandover, isStopped }: Options): Promise<ReadonlyMap<EndpointId, EndpointStatus>> {
  const statuses = new Map<EndpointId, EndpointStatus>()
  const replicas = group.endpoints.filter(({ id }) => id !== old)
  const ask = async (endpoint: EndpointId, command: Command) => {
    const status = isStopped ? await probes.askRequired(endpoint, command) : await probes.ask(endpoint, command)
    if (status !== undefined) statuses.set(endpoint, status)
    log.write('surveyed', { group: group.id, endpoint, answered: status !== undefined, received: String(status?.received ?? '-'), isPrimary: status?.isPrimary ?? false })
  }
  const askReplicas = async (command: Command) => { await Promise.all(replicas.map(async ({ id }) => await ask(id, command))) }
  if (!isStopped) {
    if (isHandover && old !== undefined) await ask(old, { kind: 'status' })
    await askReplicas({ kind: 'status' })
    return statuses
  }
  // A primary that leaves still serves, so its replicas aren't stopped before all of them can be heard.
  if (isHandover) await askReplicas({ kind: 'status' })
  if (!isHandover || statuses.size === replicas.length) await askReplicas({ kind: 'pause', term: group.term + 1 as Term })
  return statuses
}
