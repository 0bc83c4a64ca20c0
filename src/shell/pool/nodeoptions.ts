/** What a process is started with, and the ways to what is outside of it. */

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
  /** Where hosts that the settings name take links; this one may be among them. */
  readonly seeds: readonly LinkId[]
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean
  /** Milliseconds within which a new configuration is to be in force. */
  readonly applyMs: number
  /** Milliseconds for which an endpoint serves after it said that it leaves. */
  readonly drainMs: number
  /** Milliseconds for which the store knows what changed. */
  readonly historyMs: number
  /** Milliseconds after which no host serves a key that was taken away, in touch or not; undefined where that isn't asked. */
  readonly revokeMs?: number | undefined
  /** How exactly allowances of teams are kept, and the way to those who issue them; undefined where teams have none. */
  readonly allowances?: { readonly bounds: AllowanceBounds, readonly port: TokenTransport } | undefined
  /** Where a team's sessions meet if few owners are picked: at one of them, unless the data centres are far from each other. */
  readonly affinity?: TeamAffinity | undefined
  /** How owners tell each other of their load; undefined where they don't. */
  readonly loadTransport?: LoadTransport | undefined
  readonly platform: Platform
  readonly log: Log
  readonly metrics: PoolMetrics
  readonly chance: () => number
  /** Undefined when the operator wants no records. */
  readonly auditor?: Auditor | undefined
}
