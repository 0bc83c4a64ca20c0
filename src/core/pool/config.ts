/** One version of what operators decide: the databases, their groups and the limits. */

import type { GroupId } from '../id/group.ts'
import type { ConfigVersion } from '../id/version.ts'
import type { Route } from './route.ts'

interface GroupLimits {
  readonly id: GroupId
  /** Connections that one endpoint takes from all hosts together. */
  readonly connections: number
  /** Whether a commit is acknowledged only once a replica has received it. */
  readonly isSynchronous: boolean
}

interface Fields {
  readonly version: ConfigVersion
  readonly routes: readonly Route[]
  readonly groups: readonly GroupLimits[]
  /** After so long without a statement a transaction may be ended; milliseconds. */
  readonly idleTransactionMs: number
}

/** Immutable. */
export class PoolConfig implements Fields {
  readonly version: ConfigVersion
  readonly routes: readonly Route[]
  readonly groups: readonly GroupLimits[]
  readonly idleTransactionMs: number
  private readonly byDatabase: ReadonlyMap<string, Route>
  private readonly byGroup: ReadonlyMap<GroupId, GroupLimits>

  private constructor (fields: Fields) {
    this.version = fields.version
    this.routes = fields.routes
    this.groups = fields.groups
    this.idleTransactionMs = fields.idleTransactionMs
    this.byDatabase = new Map(fields.routes.map(route => [route.database, route]))
    this.byGroup = new Map(fields.groups.map(group => [group.id, group]))
  }

  static of (fields: Fields): PoolConfig {
    return new PoolConfig(fields)
  }

  route (database: string): Route | undefined {
    return this.byDatabase.get(database)
  }

  group (id: GroupId): GroupLimits | undefined {
    return this.byGroup.get(id)
  }
}
