/** Sessions of a small team meet at one owner of all, those of a large one in each data centre. */

import { dataCentreAffinity } from './datacentreaffinity.ts'
import type { TeamAffinity } from './teamaffinity.ts'

/** A team is kept at one owner up to this part of what an owner carries: the rest is for the other teams that meet there, and for uneven sessions. */
const MAX_SHARE_OF_OWNER = 0.5

/**
 * Against connections that are opened for one statement and closed for the next: one serves a single team, and a team that meets in each data
 * centre needs one at each of these owners, where it's unused for longer. All hosts rank the owners alike, so that a team whose owner is gone meets again
 * at the next one.
 */
export const singleOwnerAffinity: TeamAffinity = (host, team, ranked) => {
  const isSmall = team.share * ranked.length <= MAX_SHARE_OF_OWNER
  return isSmall ? { preferred: ranked.slice(0, 1), fallbacks: ranked.slice(1) } : dataCentreAffinity(host, team, ranked)
}
