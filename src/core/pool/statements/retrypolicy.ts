/** Decides whether a statement that can't run now waits, is tried again, or is refused. */

import type { RetryDecision } from './retrydecision.ts'

interface RetryContext {
  /** What is left of the statement's time. */
  readonly remainingMs: number
  /** How long the statement is expected to run. */
  readonly serviceMs: number
}

interface PrimaryRetryContext extends RetryContext {
  /** The longest that one statement of the route may take. */
  readonly statementTimeoutMs: number
  /** Milliseconds without a known primary; undefined while one is known but unreachable. */
  readonly leaderlessMs: number | undefined
  /** Milliseconds until a new primary is expected; undefined when none is. */
  readonly expectedMs: number | undefined
  /** Index in the admission's classes; 0 for the most urgent. */
  readonly rank: number
  /** How often the statement has waited for a primary. */
  readonly timesWaited: number
  /** Other statements that wait at this host for the same primary. */
  readonly waiting: number
  /** This host's connections to one endpoint. */
  readonly connections: number
}

interface CapacityRetryContext extends RetryContext {
  /** How often the statement has waited. */
  readonly pauses: number
  /** A random number from 0 to 1. */
  readonly chance: number
}

interface SentStatement {
  readonly what: 'read' | 'write' | 'commit'
  /** Whether it was sent as the beginning of a caller's transaction. */
  readonly isInTransaction: boolean
}

export interface RetryPolicy {
  /** The most tries of one operation in a group with this number of endpoints. */
  maxTries (endpoints: number): number
  /** Only a primary can run it, and none is reachable. */
  forLeader (lack: PrimaryRetryContext): RetryDecision
  /** Every endpoint that can run it refused it because it is at capacity. */
  forRoom (lack: CapacityRetryContext): RetryDecision
  /** There is no connection to the only endpoint that can run it, and it isn't known yet whether that endpoint is unreachable. */
  forReach (lack: CapacityRetryContext): RetryDecision
  /** It may be tried at another endpoint, but this host's retry budget is used up. */
  forBudget (lack: CapacityRetryContext): RetryDecision
  /** Whether a statement is cancelled at an endpoint that became unreachable, and tried at another one. */
  isRetriedElsewhere (one: SentStatement): boolean
  /** Whether a waiting statement is dropped; `hasLeft`: whether its caller has disconnected. */
  isAbandoned (hasLeft: boolean): boolean
}
