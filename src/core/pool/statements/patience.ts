/** When a statement that wasn't run waits, is tried again, or is refused at once. */

import type { Step } from './step.ts'

interface Lack {
  /** What is left of the statement's time, and what serving it is expected to take. */
  readonly leftMs: number
  readonly serviceMs: number
}

interface LeaderLack extends Lack {
  /** The most that one statement of the route may take. */
  readonly statementMs: number
  /** Milliseconds without any known primary; undefined while one is known, but out of reach. */
  readonly missingMs: number | undefined
  /** Milliseconds until there is one; undefined when none is expected. */
  readonly expectedMs: number | undefined
  /** Index in the admission's classes. */
  readonly rank: number
  /** How often it has waited for one. */
  readonly looks: number
  /** Others that wait at this host for this primary. */
  readonly waiting: number
  /** This host's connections to an endpoint. */
  readonly connections: number
}

interface RoomLack extends Lack {
  /** How often it has waited for room. */
  readonly pauses: number
  /** From 0 to 1. */
  readonly chance: number
}

interface Sent {
  readonly what: 'read' | 'write' | 'commit'
  /** Whether it began a caller's transaction there. */
  readonly isInside: boolean
}

export interface Patience {
  /** Tries of one operation at most, in a group of so many endpoints. */
  mostTries (endpoints: number): number
  /** Only a primary may do it, and none is in reach. */
  forLeader (lack: LeaderLack): Step
  /** All that could do it, and whom it would ask once more, refused it for want of room. */
  forRoom (lack: RoomLack): Step
  /** No connection to the endpoint that alone can do it was to be had, and it's in doubt whether that is out of reach. */
  forReach (lack: RoomLack): Step
  /** It may be tried elsewhere, but the retries of this host are used up. */
  forBudget (lack: RoomLack): Step
  /** Whether it's cut off at an endpoint that turns out to be out of reach, and tried elsewhere. */
  isCutOff (one: Sent): boolean
  /** Whether what waits is given up, now that its caller has left or not. */
  isDropped (hasLeft: boolean): boolean
}
