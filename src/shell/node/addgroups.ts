/** Creates the state of the groups that a configuration names. */

import type { Config } from '../../core/config/config.ts'
import { Group } from '../../core/group/group.ts'
import type { Groups } from '../caller/groups.ts'

/** Adds the groups of the configuration that are missing; existing groups keep their state. */
export function addGroups (config: Config, groups: Groups): void {
  for (const { id, endpoints } of config.groups) {
    if (groups.get(id) === undefined) groups.set(Group.of(id, endpoints.map(endpoint => endpoint.id)))
  }
}
