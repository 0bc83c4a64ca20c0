/** Why a statement wasn't done, as counted in the metrics. */

import type { Fault } from '../../statement/fault.ts'

/**
 * A fault, or the more specific cause of a `busy`:
 * - `noLeader`: no primary is reachable, and none is expected.
 * - `leaderLate`: a primary is expected, but too late for the statement.
 * - `crowded`: too many statements already wait for the primary.
 * - `queue`: no connection of this host to the endpoint will be free in time.
 * - `unreachable`: no connection to the endpoint, or to the host that reaches it.
 * - `full`: the endpoint refused it repeatedly because it is at capacity.
 * - `budget`: this host's retry budget is used up.
 * - `left`: the caller disconnected while the statement waited.
 */
export type Cause = Fault | 'noLeader' | 'leaderLate' | 'crowded' | 'queue' | 'unreachable' | 'full' | 'budget' | 'left'
