/** Sessions of a small team meet at one owner of all, those of a large one in each data centre. */

import { eachCentre } from './eachcentre.ts'
import type { TeamMeeting } from './teammeeting.ts'

/** A team is kept at one owner up to this part of what an owner carries: the rest is for the other teams that meet there, and for uneven sessions. */
const MOST_OF_OWNER = 0.5

/**
 * Against connections that are opened for one statement and closed for the next: one serves a single team, and a team that meets in each data
 * centre needs one at each of these owners, where it's unused for longer. All hosts rank the owners alike, so that a team whose owner is gone meets again
 * at the next one.
 */
export const oneOwner: TeamMeeting = (host, team, ranked) => {
  const isSmall = team.share * ranked.length <= MOST_OF_OWNER
  return isSmall ? { own: ranked.slice(0, 1), others: ranked.slice(1) } : eachCentre(host, team, ranked)
}
