/** Where a group's owners are picked: what can be served within its time, or within that of its caller's next try, waits for it. */

import { newPrimaryWaitMs } from './newprimarywait.ts'
import type { RetryPolicy } from './retrypolicy.ts'
import type { RetryDecision } from './retrydecision.ts'

/** Each endpoint is asked so often: at once, and after two waits. */
const TRIES_PER_ENDPOINT = 3
/** Pauses for want of room; after them the endpoints' own queues have been full for several statements' time. */
const MAX_PAUSES = 3
/** Looks at an endpoint in doubt: it's settled by the succession's next tick and a question, which take four looks' time together at most. */
const MAX_CONNECTION_WAITS = 5
/**
 * A caller asks again as soon as it's refused, so a statement that ends just before its time is up waits on in the next.
 * One more is counted on and no third: callers give their operations little more than the time of two statements.
 */
const CALLER_RETRIES = 1
/** What waits is looked at so often: a replica may have caught up for a read, or another host may reach the primary. */
const RECHECK_MS = 100
/** After so many looks, endpoints that refused a read are asked again: after about the lag of a replica, and after four times that; the tries are few. */
const RESET_AFTER_WAITS: ReadonlySet<number> = new Set([0, 3])
/** The time to come back where nothing is known to be under way. */
const DEFAULT_RETRY_AFTER_MS = 500
/** The part of those that may wait, by class: when many do, the place of one that is less urgent is kept for one that is more. */
const CLASS_SHARES = [1, 0.75, 0.5] as const

/**
 * Guard against refusals of what could be served: a primary is replaced within two
 * statements' time, its callers retry within a few tens of milliseconds and then give up, and so all who ask
 * meanwhile are lost. And against its opposite, statements that are held until
 * their time is up though nobody will serve them: they wait only for what is expected.
 */
export class PatientRetryPolicy implements RetryPolicy {
  private constructor () {}

  static create (): PatientRetryPolicy {
    return new PatientRetryPolicy()
  }

  maxTries (endpoints: number): number {
    return TRIES_PER_ENDPOINT * Math.max(1, endpoints)
  }

  forLeader ({ remainingMs: leftMs, serviceMs, statementTimeoutMs: statementMs, leaderlessMs: missingMs, expectedMs, rank, timesWaited: looks, waiting, connections }: Parameters<RetryPolicy['forLeader']>[0]): RetryDecision {
    const news = newPrimaryWaitMs(missingMs)
    const mostMs = leftMs - serviceMs
    if (expectedMs === undefined && news > 0) return { kind: 'wait', ms: news, areRefusalsReset: false }
    if (expectedMs === undefined) return { kind: 'refuse', cause: 'noLeader', retryAfterMs: DEFAULT_RETRY_AFTER_MS }
    if (mostMs <= 0 || expectedMs > mostMs + CALLER_RETRIES * statementMs) return { kind: 'refuse', cause: 'leaderLate', retryAfterMs: expectedMs }
    const drainMs = (waiting + 1) * serviceMs / Math.max(1, connections)
    if (drainMs > statementMs * (CLASS_SHARES[rank] ?? CLASS_SHARES[2])) return { kind: 'refuse', cause: 'crowded', retryAfterMs: expectedMs + drainMs }
    return { kind: 'wait', ms: Math.min(mostMs, RECHECK_MS), areRefusalsReset: RESET_AFTER_WAITS.has(looks) }
  }

  /**
   * An endpoint that is full has a place free as soon as it has done one statement, for which all hosts
   * ask that it refused: so each pause is twice as long as the one before, and drawn by chance between half of that and one and a half times.
   */
  forRoom ({ remainingMs: leftMs, serviceMs, pauses, chance }: Parameters<RetryPolicy['forRoom']>[0]): RetryDecision {
    const ms = serviceMs * 2 ** pauses * (0.5 + chance)
    const isUseless = pauses >= MAX_PAUSES || ms + serviceMs > leftMs
    return isUseless ? { kind: 'refuse', cause: 'full', retryAfterMs: ms } : { kind: 'wait', ms, areRefusalsReset: true }
  }

  /** The endpoint is in doubt, and within a few looks it's known to be out of reach, so that the wait for its successor begins, or it's reached. */
  forReach ({ remainingMs: leftMs, serviceMs, pauses }: Parameters<RetryPolicy['forReach']>[0]): RetryDecision {
    const isUseless = pauses >= MAX_CONNECTION_WAITS || RECHECK_MS + serviceMs > leftMs
    return isUseless ? { kind: 'refuse', cause: 'unreachable', retryAfterMs: RECHECK_MS } : { kind: 'wait', ms: RECHECK_MS, areRefusalsReset: false }
  }

  forBudget (lack: Parameters<RetryPolicy['forBudget']>[0]): RetryDecision {
    const step = this.forRoom(lack)
    return step.kind === 'refuse' ? { ...step, cause: 'budget' } : step
  }

  /** The first statement of a transaction is kept nowhere without its commit, so it needn't wait for an answer as a single write must. */
  isRetriedElsewhere ({ what, isInTransaction: isInside }: Parameters<RetryPolicy['isRetriedElsewhere']>[0]): boolean {
    return what === 'read' || (isInside && what === 'write')
  }

  /** Against work for nobody: what waited for most of its time was run after its caller had left. */
  isAbandoned (hasLeft: boolean): boolean {
    return hasLeft
  }
}
