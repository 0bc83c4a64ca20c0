/** The groups of a configuration, before anything was heard of them. */

import type { Config } from '../../core/config/config.ts'
import { Group } from '../../core/group/group.ts'
import type { Groups } from '../caller/groups.ts'

/** Adds those that aren't known yet; what is known of the others stays. */
export function addGroups (config: Config, groups: Groups): void {
  for (const { id, endpoints } of config.groups) {
    if (groups.get(id) === undefined) groups.set(Group.of(id, endpoints.map(one => one.id)))
  }
}
