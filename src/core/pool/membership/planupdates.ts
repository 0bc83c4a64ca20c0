/** Sends rows that are held back to the followers whose turn it is. */

import type { Instant } from '../../id/instant.ts'
import { rowsSince } from './rowssince.ts'
import type { SyncAction } from './syncaction.ts'
import type { SyncState } from './syncstate.ts'
import type { SyncStep } from './syncstep.ts'

/** Followers to which large updates are on their way at a time. With more of them a caller's answer waits longer behind them. */
const MAX_IN_TURN = 4

/**
 * A follower is sent the newest rows only, so versions that came while it waited are skipped. One that doesn't confirm in time holds up nobody:
 * its turn ends, and from then on it gets the newest rows once per timeout outside of the turns.
 */
export function planUpdates (state: SyncState, now: Instant): SyncStep {
  let { followers, updates } = state
  let free = MAX_IN_TURN - followers.inTurn(now)
  const actions: SyncAction[] = []
  for (const { link, table } of followers.waiting) {
    const progress = followers.progressOf(link, table)
    const isOverdue = progress.isOverdue(now)
    if (!progress.isDue(now) || (free <= 0 && !isOverdue)) continue
    const message = rowsSince({ ...state, updates }, table, progress.baseVersion)
    followers = message === undefined ? followers.caughtUp(link, table) : followers.sent(link, message, now)
    if (message === undefined) continue
    updates = { ...updates, [table]: message }
    if (!isOverdue) free--
    actions.push({ kind: 'tell', link, message })
  }
  return { state: { ...state, followers, updates }, actions }
}
