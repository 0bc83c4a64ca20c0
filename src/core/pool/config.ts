/** One version of the operator's configuration: databases, groups, teams and limits. */

import type { GroupId } from '../id/group.ts'
import type { TeamId } from '../id/team.ts'
import type { ConfigVersion } from '../id/version.ts'
import type { KeyDigest } from './access/keydigest.ts'
import type { Team } from './access/team.ts'
import type { Route } from './route.ts'

interface GroupLimits {
  readonly id: GroupId
  /** Connections that one endpoint accepts from all hosts together. */
  readonly connections: number
  /** Whether a commit is acknowledged only after a replica has received it. */
  readonly isSynchronous: boolean
}

interface Fields {
  readonly version: ConfigVersion
  readonly routes: readonly Route[]
  readonly groups: readonly GroupLimits[]
  /** Idle time after which a transaction may be rolled back, in milliseconds. */
  readonly idleTransactionMs: number
  /** Undefined where callers need no keys. */
  readonly teams?: readonly Team[] | undefined
}

/** Immutable. */
export class PoolConfig implements Fields {
  readonly version: ConfigVersion
  readonly routes: readonly Route[]
  readonly groups: readonly GroupLimits[]
  readonly idleTransactionMs: number
  readonly teams: readonly Team[] | undefined
  private readonly totalPerSecond: number
  private readonly teamsByKey: ReadonlyMap<KeyDigest, Team>
  private readonly teamsById: ReadonlyMap<TeamId, Team>
  private readonly routesByDatabase: ReadonlyMap<string, Route>
  private readonly groupsById: ReadonlyMap<GroupId, GroupLimits>

  private constructor (fields: Fields) {
    this.version = fields.version
    this.routes = fields.routes
    this.groups = fields.groups
    this.idleTransactionMs = fields.idleTransactionMs
    this.teams = fields.teams
    this.totalPerSecond = fields.teams?.reduce((sum, { rate }) => sum + (rate?.perSecond ?? 0), 0) ?? 0
    this.teamsByKey = new Map(fields.teams?.flatMap(team => team.keys.map(key => [key, team] as const)))
    this.teamsById = new Map(fields.teams?.map(team => [team.id, team]))
    this.routesByDatabase = new Map(fields.routes.map(route => [route.database, route]))
    this.groupsById = new Map(fields.groups.map(group => [group.id, group]))
  }

  static of (fields: Fields): PoolConfig {
    return new PoolConfig(fields)
  }

  route (database: string): Route | undefined {
    return this.routesByDatabase.get(database)
  }

  /** Whether the database accepts callers without a key. */
  isPublic (route: Route): boolean {
    return this.teams === undefined || route.isPublic === true
  }

  /** The team that the key belongs to; undefined for none. */
  holderOf (key: KeyDigest | undefined): Team | undefined {
    return key === undefined ? undefined : this.teamsByKey.get(key)
  }

  /** The team's share of the sum of all rate limits, from 0 to 1; an equal share for a team without a limit. */
  shareOf ({ rate }: Team): number {
    const { teams = [] } = this
    return rate === undefined || this.totalPerSecond === 0 ? 1 / Math.max(1, teams.length) : rate.perSecond / this.totalPerSecond
  }

  team (id: TeamId): Team | undefined {
    return this.teamsById.get(id)
  }

  group (id: GroupId): GroupLimits | undefined {
    return this.groupsById.get(id)
  }
}
