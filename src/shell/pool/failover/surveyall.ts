/** Asks the endpoints of a group for their log positions. */

import type { EndpointId } from '../../../core/id/endpoint.ts'
import type { EndpointStatus } from '../../../core/statement/endpointstatus.ts'
import type { Log } from '../../log/log.ts'
import type { PoolGroup } from '../group.ts'
import { askAll } from './askall.ts'
import type { Probes } from './probes.ts'
import { stopReplicas } from './stopreplicas.ts'

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
 * answer. Otherwise an old primary that hands over is asked before the replicas, so that a replica with its position has everything up
 * to then.
 */
export async function surveyAll (options: Options): Promise<ReadonlyMap<EndpointId, EndpointStatus>> {
  const { group, old, isHandover, isStopped } = options
  const replicas = group.endpoints.map(({ id }) => id).filter(id => id !== old)
  if (isStopped) return await stopAll(options, replicas)
  const probing = { ...options, isRequired: false }
  const primary = isHandover && old !== undefined ? await askAll(probing, [old], { kind: 'status' }) : []
  return new Map([...primary, ...await askAll(probing, replicas, { kind: 'status' })])
}

/** A primary that leaves still serves, so it's asked too, and its replicas aren't stopped before all of them can be heard. */
async function stopAll (options: Options, replicas: readonly EndpointId[]): Promise<ReadonlyMap<EndpointId, EndpointStatus>> {
  const { group, old, isHandover } = options
  const unlisted = group.commitHolders.unlisted.map(({ id }) => id).filter(id => id !== old)
  if (!isHandover || old === undefined) return await stopReplicas(options, [...replicas, ...unlisted])
  const heard = await askAll({ ...options, isRequired: true }, [old, ...replicas, ...unlisted], { kind: 'status' })
  if (replicas.some(id => !heard.has(id))) return heard
  const primary = [...heard].filter(([id]) => id === old)
  return new Map([...primary, ...await stopReplicas(options, [...replicas, ...unlisted.filter(id => heard.has(id))])])
}
