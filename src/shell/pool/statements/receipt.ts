/** Checks whether the successor of a leaving primary has received a commit. */

import { setTimeout as pause } from 'node:timers/promises'
import type { EndpointId } from '../../../core/id/endpoint.ts'
import type { Instant } from '../../../core/id/instant.ts'
import type { TeamId } from '../../../core/id/team.ts'
import { Handover } from '../../../core/pool/failover/handover.ts'
import { SessionState } from '../../../core/session/sessionstate.ts'
import type { Token } from '../../../core/token.ts'
import { Attempt } from '../connections/attempt.ts'
import type { PoolGroup } from '../group.ts'
import { left } from './left.ts'

interface Options {
  readonly group: PoolGroup
  readonly successor: EndpointId
  readonly commit: Token
  readonly database: string
  readonly team: TeamId | undefined
  readonly deadline: Instant
}

/** Interval of polling the successor: about the time in which a commit reaches a replica in another data centre. */
const POLL_INTERVAL_MS = 5
/** Rank of the status queries, before all other statements. */
const HIGHEST_RANK = 0

/** Resolves with false if receipt can't be confirmed in time; the commit is then in doubt. */
export async function isReceived (options: Options): Promise<boolean> {
  const { commit, deadline } = options
  while (left(deadline) > 0) {
    const status = await statusOf(options)
    const fate = status === undefined ? 'missing' : Handover.receiptOf(commit, status)
    if (fate !== 'missing') return fate === 'received'
    await pause(POLL_INTERVAL_MS)
  }
  return false
}

async function statusOf ({ group, successor, database, team, deadline }: Options) {
  const pool = group.connectionPool(successor)
  const borrowed = await pool?.borrow({ rank: HIGHEST_RANK, caller: team ?? database, team, remainingMs: left(deadline), isTransaction: false, values: SessionState.empty() })
  if (pool === undefined || borrowed?.isOk() !== true) return undefined
  const attempt = Attempt.on(group, pool, borrowed.value)
  const answer = await attempt.ask([{ kind: 'status' }], 0, left(deadline), false)
  attempt.release()
  return typeof answer === 'string' ? undefined : answer.status
}
