/** The state and services that all sessions of this process share. */

import type { PoolConfig } from '../../core/pool/config.ts'
import type { permissionOf } from '../../core/pool/access/permission.ts'
import type { KeyDigest } from '../../core/pool/access/keydigest.ts'
import type { Route } from '../../core/pool/route.ts'
import type { HostId } from '../../core/id/host.ts'
import type { GroupId } from '../../core/id/group.ts'
import type { SharedRetryBudget } from '../../core/retry/sharedretrybudget.ts'
import type { PoolHost } from '../../core/pool/placing/host.ts'
import type { LogRateLimiter } from '../../core/pool/statements/logratelimiter.ts'
import type { Log } from '../log/log.ts'
import type { Auditor } from './statements/auditor.ts'
import type { Allowances } from './allowance/allowances.ts'
import type { Dialer } from './connections/dialer.ts'
import type { PoolGroup } from './group.ts'
import type { PoolMetrics } from './metrics.ts'

export interface PoolContext {
  /** The configuration in force. */
  readonly config: () => PoolConfig
  /** Resolves with true once the process knows its configuration and endpoints, or with false after `ms`. */
  readonly whenReady: (ms: number) => Promise<boolean>
  /** Resolves once this host has at least `version` of the configuration, or failed to get it from `host`. */
  readonly catchUpConfig: (version: number, host: string) => Promise<void>
  readonly self: HostId
  /** Whether the holder of `key` may run statements on `route`, by the configuration in force. */
  readonly permission: (route: Route, key: KeyDigest | undefined) => ReturnType<typeof permissionOf>
  /** Undefined where teams have no allowances. */
  readonly allowances: Allowances | undefined
  /** Hosts that own connections for the database and the holder of `key`, the best first; empty if this host serves it itself. */
  readonly forwardingTargets: (database: string, key?: KeyDigest) => readonly PoolHost[]
  /** Reports a host that couldn't be reached, or that ended with statements open. */
  readonly reportUnreachableHost: (id: HostId) => void
  /** Some hosts other than this one and `id`, to compare with `id` when it can't be reached. */
  readonly otherHosts: (id: HostId) => readonly PoolHost[]
  /** Connects to a host that reaches an endpoint of the database. */
  readonly dialHost: (host: PoolHost, database: string, key: KeyDigest | undefined, timeoutMs: number) => ReturnType<Dialer['dialHost']>
  /** Undefined for a group that isn't configured. */
  readonly group: (id: GroupId) => PoolGroup | undefined
  readonly retryBudget: SharedRetryBudget
  readonly log: Log
  /** Limits the log lines about requests. */
  readonly lineBudget: LogRateLimiter
  readonly metrics: PoolMetrics
  /** Undefined if audit records are turned off. */
  readonly auditor: Auditor | undefined
}
