/** Settings and external services of a process. */

import type { AllowanceBounds } from '../../core/allowance/bounds.ts'
import type { LinkId } from '../../core/pool/membership/linkid.ts'
import type { PoolHost } from '../../core/pool/placing/host.ts'
import type { TeamAffinity } from '../../core/pool/placing/teamaffinity.ts'
import type { Log } from '../log/log.ts'
import type { TokenTransport } from './allowance/tokentransport.ts'
import type { LoadTransport } from './load/loadtransport.ts'
import type { PoolMetrics } from './metrics.ts'
import type { Platform } from './platform.ts'
import type { Auditor } from './statements/auditor.ts'

export interface NodeOptions {
  readonly self: PoolHost
  /** Link addresses of the seed hosts in the settings; this host may be among them. */
  readonly seeds: readonly LinkId[]
  /** Whether the whole system starts for the first time, with empty tables. */
  readonly isFirstStart: boolean
  /** Milliseconds within which a new configuration must be in force. */
  readonly applyMs: number
  /** Milliseconds for which an endpoint keeps serving after it announced that it leaves. */
  readonly drainMs: number
  /** Milliseconds for which the store keeps its history of changes. */
  readonly historyMs: number
  /** Milliseconds after which no host serves a revoked key, even if it's cut off from the others; undefined without such a limit. */
  readonly revokeMs?: number | undefined
  /** The precision of team allowances, and the transport to the hosts that issue tokens; undefined where teams have no allowances. */
  readonly allowances?: { readonly bounds: AllowanceBounds, readonly port: TokenTransport } | undefined
  /** Which owners serve a team's sessions where a group has few owners; by default a small team has one owner. */
  readonly affinity?: TeamAffinity | undefined
  /** Transport of load reports between owners; undefined where owners don't report load. */
  readonly loadTransport?: LoadTransport | undefined
  readonly platform: Platform
  readonly log: Log
  readonly metrics: PoolMetrics
  readonly chance: () => number
  /** Undefined if audit records are turned off. */
  readonly auditor?: Auditor | undefined
}
