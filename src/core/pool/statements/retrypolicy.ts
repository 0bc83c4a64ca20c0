/** When a statement that wasn't run waits, is tried again, or is refused at once. */

import type { RetryDecision } from './retrydecision.ts'

interface RetryContext {
  /** What is left of the statement's time, and what serving it is expected to take. */
  readonly remainingMs: number
  readonly serviceMs: number
}

interface PrimaryRetryContext extends RetryContext {
  /** The most that one statement of the route may take. */
  readonly statementTimeoutMs: number
  /** Milliseconds without any known primary; undefined while one is known, but out of reach. */
  readonly leaderlessMs: number | undefined
  /** Milliseconds until there is one; undefined when none is expected. */
  readonly expectedMs: number | undefined
  /** Index in the admission's classes. */
  readonly rank: number
  /** How often it has waited for one. */
  readonly timesWaited: number
  /** Others that wait at this host for this primary. */
  readonly waiting: number
  /** This host's connections to an endpoint. */
  readonly connections: number
}

interface CapacityRetryContext extends RetryContext {
  /** How often it has waited for room. */
  readonly pauses: number
  /** From 0 to 1. */
  readonly chance: number
}

interface SentStatement {
  readonly what: 'read' | 'write' | 'commit'
  /** Whether it began a caller's transaction there. */
  readonly isInTransaction: boolean
}

export interface RetryPolicy {
  /** Tries of one operation at most, in a group of so many endpoints. */
  maxTries (endpoints: number): number
  /** Only a primary may do it, and none is in reach. */
  forLeader (lack: PrimaryRetryContext): RetryDecision
  /** All that could do it, and whom it would ask once more, refused it for want of room. */
  forRoom (lack: CapacityRetryContext): RetryDecision
  /** No connection to the endpoint that alone can do it was to be had, and it's in doubt whether that is out of reach. */
  forReach (lack: CapacityRetryContext): RetryDecision
  /** It may be tried elsewhere, but the retries of this host are used up. */
  forBudget (lack: CapacityRetryContext): RetryDecision
  /** Whether it's cut off at an endpoint that turns out to be out of reach, and tried elsewhere. */
  isRetriedElsewhere (one: SentStatement): boolean
  /** Whether what waits is given up, now that its caller has left or not. */
  isAbandoned (hasLeft: boolean): boolean
}
