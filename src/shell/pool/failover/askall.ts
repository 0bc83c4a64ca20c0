/** Asks endpoints of a group for their status at once. */

import type { EndpointId } from '../../../core/id/endpoint.ts'
import type { Command } from '../../../core/statement/command.ts'
import type { EndpointStatus } from '../../../core/statement/endpointstatus.ts'
import type { Log } from '../../log/log.ts'
import type { PoolGroup } from '../group.ts'
import type { Probes } from './probes.ts'

interface Options {
  readonly group: PoolGroup
  readonly probes: Probes
  readonly log: Log
  /** Whether a promotion depends on the answers of listed endpoints, which then have longer to answer. */
  readonly isRequired: boolean
}

/** Resolves with the status of those that answered, after the command. */
export async function askAll ({ group, probes, log, isRequired }: Options, endpoints: readonly EndpointId[], command: Command): Promise<ReadonlyMap<EndpointId, EndpointStatus>> {
  const statuses = new Map<EndpointId, EndpointStatus>()
  await Promise.all(endpoints.map(async endpoint => {
    const isListed = group.endpoint(endpoint) !== undefined
    const status = isRequired && isListed ? await probes.askRequired(endpoint, command) : await probes.ask(endpoint, command)
    if (status !== undefined) statuses.set(endpoint, status)
    log.write('surveyed', { group: group.id, endpoint, answered: status !== undefined, received: String(status?.received ?? '-'), isPrimary: status?.isPrimary ?? false })
  }))
  return statuses
}
