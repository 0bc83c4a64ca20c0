/** What all sessions of a process share. */

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
  /** The newest configuration in force. */
  readonly config: () => PoolConfig
  /** Resolves once the process knows its configuration and its endpoints, or with false after the time. */
  readonly whenReady: (ms: number) => Promise<boolean>
  /** Resolves once this host has at least the version, or can't get it from the host that has. */
  readonly catchUpConfig: (version: number, host: string) => Promise<void>
  readonly self: HostId
  /** Whether statements on the route may go out for the holder of the key, by what this host knows now. */
  readonly permission: (route: Route, key: KeyDigest | undefined) => ReturnType<typeof permissionOf>
  /** Undefined where teams have none. */
  readonly allowances: Allowances | undefined
  /** Hosts that have connections for the database and the holder of the key, the best first; empty when this host serves it itself. */
  readonly forwardingTargets: (database: string, key?: KeyDigest) => readonly PoolHost[]
  /** The host couldn't be reached, or ended with statements open. */
  readonly reportUnreachableHost: (id: HostId) => void
  /** Opens a connection to a host that reaches an endpoint of the database. */
  readonly dialHost: (host: PoolHost, database: string, key: KeyDigest | undefined, timeoutMs: number) => ReturnType<Dialer['dialHost']>
  readonly group: (id: GroupId) => PoolGroup | undefined
  readonly retryBudget: SharedRetryBudget
  readonly log: Log
  /** For lines of requests. */
  readonly lineBudget: LogRateLimiter
  readonly metrics: PoolMetrics
  /** Undefined when the operator wants no records. */
  readonly auditor: Auditor | undefined
}
