/** Routes all sessions of a small team to one owner, and those of a large team to owners in each data centre. */

import { dataCentreAffinity } from './datacentreaffinity.ts'
import type { TeamAffinity } from './teamaffinity.ts'

/** A team up to this fraction of an owner's load uses a single owner; the rest is left for other teams of that owner and for uneven sessions. */
const MAX_SHARE_OF_OWNER = 0.5

/**
 * Each connection serves a single team. A team with owners in every data centre needs connections at each of them, where they are idle longer and are
 * closed and reopened more often. All hosts rank the owners alike, so that if the owner fails, all sessions of the team move to the same next one.
 */
export const singleOwnerAffinity: TeamAffinity = (host, team, ranked) => {
  const isSmall = team.share * ranked.length <= MAX_SHARE_OF_OWNER
  return isSmall ? { preferred: ranked.slice(0, 1), fallbacks: ranked.slice(1) } : dataCentreAffinity(host, team, ranked)
}
