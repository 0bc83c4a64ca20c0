/** Why a statement wasn't done, as operators count it. */

import type { Fault } from '../../statement/fault.ts'

/**
 * A fault where that says it all, or what lies behind a "busy":
 * - `noLeader`: no primary is in reach, and none is expected.
 * - `leaderLate`: one is expected, but too late for the statement.
 * - `crowded`: so many wait for the primary already that it couldn't serve this one in time.
 * - `queue`: the connections of this host to the endpoint won't be free in time.
 * - `unreachable`: no connection to the endpoint, or to the host that reaches it.
 * - `full`: the endpoint refused it for want of room, again and again.
 * - `budget`: the retries of this host are used up.
 * - `left`: its caller left while it waited.
 */
export type Cause = Fault | 'noLeader' | 'leaderLate' | 'crowded' | 'queue' | 'unreachable' | 'full' | 'budget' | 'left'
