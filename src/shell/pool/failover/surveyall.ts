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
  /** Whether the replicas are to stop receiving, and every listed one must be heard. */
  readonly isStopped: boolean
}

/**
 * Resolves with the status of the endpoints that answered. Where commits wait for a replica, the replicas are stopped, since the chosen
 * log might lack a commit that another replica acknowledged after it was asked; so are those that are no longer listed, as far as they
 * answer. Otherwise an old primary that hands over is asked
 * before the replicas, so that a replica with its position has everything up to then.
 */
export async function surveyAll (options: Options): Promise<ReadonlyMap<EndpointId, EndpointStatus>> {
  const { group, old, isHandover, isStopped } = options
  const replicas = group.endpoints.map(({ id }) => id).filter(id => id !== old)
  if (isStopped) return await stopAll(options, replicas)
  const primary = isHandover && old !== undefined ? await askAll(options, [old], { kind: 'status' }) : []
  return new Map([...primary, ...await askAll(options, replicas, { kind: 'status' })])
}

/** A primary that leaves still serves, so it's asked too, and its replicas aren't stopped before all of them can be heard. */
async function stopAll (options: Options, replicas: readonly EndpointId[]): Promise<ReadonlyMap<EndpointId, EndpointStatus>> {
  const { group, old, isHandover } = options
  const unlisted = group.commitHolders.unlisted.map(({ id }) => id).filter(id => id !== old)
  if (!isHandover || old === undefined) return await pauseAll(options, [...replicas, ...unlisted])
  const heard = await askAll(options, [old, ...replicas, ...unlisted], { kind: 'status' })
  if (replicas.some(id => !heard.has(id))) return heard
  const primary = [...heard].filter(([id]) => id === old)
  return new Map([...primary, ...await pauseAll(options, [...replicas, ...unlisted.filter(id => heard.has(id))])])
}

async function pauseAll (options: Options, replicas: readonly EndpointId[]): Promise<ReadonlyMap<EndpointId, EndpointStatus>> {
  const { group } = options
  const term = group.term + 1 as Term
  const stopped = await askAll(options, replicas, { kind: 'pause', term })
  // A pause stops a replica only if its term is above the newest one, which this host may not have seen.
  const statuses = [...stopped.values()]
  const newest = Math.max(...statuses.map(status => status.term))
  if (newest < term || statuses.some(({ isPrimary }) => isPrimary)) return stopped
  return await askAll(options, replicas, { kind: 'pause', term: newest + 1 as Term })
}

/** Sends the command to the endpoints at once; resolves with the status of those that answered. */
async function askAll ({ group, probes, log, isStopped }: Options, endpoints: readonly EndpointId[], command: Command): Promise<ReadonlyMap<EndpointId, EndpointStatus>> {
  const statuses = new Map<EndpointId, EndpointStatus>()
  await Promise.all(endpoints.map(async endpoint => {
    const isRequired = isStopped && group.endpoint(endpoint) !== undefined
    const status = isRequired ? await probes.askRequired(endpoint, command) : await probes.ask(endpoint, command)
    if (status !== undefined) statuses.set(endpoint, status)
    log.write('surveyed', { group: group.id, endpoint, answered: status !== undefined, received: String(status?.received ?? '-'), isPrimary: status?.isPrimary ?? false })
  }))
  return statuses
}
