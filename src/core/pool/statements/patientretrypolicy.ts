/** Retry policy for groups whose owners are assigned: a statement waits if it can be served in its time, or in that of its caller's next try. */

import { newPrimaryWaitMs } from './newprimarywait.ts'
import type { RetryPolicy } from './retrypolicy.ts'
import type { RetryDecision } from './retrydecision.ts'

/** The first try, and one after each of two waits. */
const TRIES_PER_ENDPOINT = 3
/** Waits for capacity. */
const MAX_PAUSES = 3
/** Waits for a suspect endpoint: a failover tick and a probe settle its state within four of them. */
const MAX_CONNECTION_WAITS = 5
/**
 * Tries that a caller is expected to add: it repeats a refused statement at once, which then goes on waiting. Callers give an operation
 * little more than the time of two statements.
 */
const CALLER_RETRIES = 1
/** Interval at which a waiting statement is checked: a replica may have caught up, or another host may reach the primary. */
const RECHECK_MS = 100
/** Numbers of waits after which endpoints that refused a read may be tried again: at about the usual replication lag, and at four times that. */
const RESET_AFTER_WAITS: ReadonlySet<number> = new Set([0, 3])
/** Retry-after time when no failover is known to be in progress. */
const DEFAULT_RETRY_AFTER_MS = 500
/** Share of the waiting time that each class may fill, so that less urgent statements leave room for more urgent ones. */
const CLASS_SHARES = [1, 0.75, 0.5] as const

/**
 * Callers retry within tens of milliseconds and then give up, so refusing every statement during a failover would lose them all. A
 * statement waits only for something that is expected in time, so that none is held until its timeout for nothing.
 */
export class PatientRetryPolicy implements RetryPolicy {
  private constructor () {}

  static create (): PatientRetryPolicy {
    return new PatientRetryPolicy()
  }

  maxTries (endpoints: number): number {
    return TRIES_PER_ENDPOINT * Math.max(1, endpoints)
  }

  forLeader ({ remainingMs, serviceMs, statementTimeoutMs, leaderlessMs, expectedMs, rank, timesWaited, waiting, connections }: Parameters<RetryPolicy['forLeader']>[0]): RetryDecision {
    const newPrimaryMs = newPrimaryWaitMs(leaderlessMs)
    const maxWaitMs = remainingMs - serviceMs
    if (expectedMs === undefined && newPrimaryMs > 0) return { kind: 'wait', ms: newPrimaryMs, areRefusalsReset: false }
    if (expectedMs === undefined) return { kind: 'refuse', cause: 'noLeader', retryAfterMs: DEFAULT_RETRY_AFTER_MS }
    if (maxWaitMs <= 0 || expectedMs > maxWaitMs + CALLER_RETRIES * statementTimeoutMs) return { kind: 'refuse', cause: 'leaderLate', retryAfterMs: expectedMs }
    const drainMs = (waiting + 1) * serviceMs / Math.max(1, connections)
    if (drainMs > statementTimeoutMs * (CLASS_SHARES[rank] ?? CLASS_SHARES[2])) return { kind: 'refuse', cause: 'crowded', retryAfterMs: expectedMs + drainMs }
    return { kind: 'wait', ms: Math.min(maxWaitMs, RECHECK_MS), areRefusalsReset: RESET_AFTER_WAITS.has(timesWaited) }
  }

  /** Exponential backoff with jitter from 0.5 to 1.5, since all hosts compete for the next free place at the endpoint. */
  forRoom ({ remainingMs, serviceMs, pauses, chance }: Parameters<RetryPolicy['forRoom']>[0]): RetryDecision {
    const ms = serviceMs * 2 ** pauses * (0.5 + chance)
    const isUseless = pauses >= MAX_PAUSES || ms + serviceMs > remainingMs
    return isUseless ? { kind: 'refuse', cause: 'full', retryAfterMs: ms } : { kind: 'wait', ms, areRefusalsReset: true }
  }

  /** Waits until the suspect endpoint is either reached or known to be unreachable, when the wait for its successor begins. */
  forReach ({ remainingMs, serviceMs, pauses }: Parameters<RetryPolicy['forReach']>[0]): RetryDecision {
    const isUseless = pauses >= MAX_CONNECTION_WAITS || RECHECK_MS + serviceMs > remainingMs
    return isUseless ? { kind: 'refuse', cause: 'unreachable', retryAfterMs: RECHECK_MS } : { kind: 'wait', ms: RECHECK_MS, areRefusalsReset: false }
  }

  forBudget (context: Parameters<RetryPolicy['forBudget']>[0]): RetryDecision {
    const decision = this.forRoom(context)
    return decision.kind === 'refuse' ? { ...decision, cause: 'budget' } : decision
  }

  /** The first statement of a transaction has no effect without a commit, so unlike a single write it may be tried elsewhere before its outcome is known. */
  isRetriedElsewhere ({ what, isInTransaction }: Parameters<RetryPolicy['isRetriedElsewhere']>[0]): boolean {
    return what === 'read' || (isInTransaction && what === 'write')
  }

  isAbandoned (hasLeft: boolean): boolean {
    return hasLeft
  }
}
