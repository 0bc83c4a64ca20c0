/** Routes the sessions of a team to owners in the data centre of the host that received them. */

import type { TeamAffinity } from './teamaffinity.ts'

/** Owners per team, as a multiple of what the team's share would fill: hosts differ in speed, and sessions don't spread evenly. */
const SPREAD_FACTOR = 2

/**
 * Each connection serves one team, and an owner has only a few to each endpoint. So a team prefers its own subset of the owners in each data centre: one
 * for a small team, more in proportion to its share.
 */
export const dataCentreAffinity: TeamAffinity = (host, { share }, ranked) => {
  const local = ranked.filter(({ dataCentre }) => dataCentre === host.dataCentre)
  const count = Math.max(1, Math.ceil(share * local.length * SPREAD_FACTOR))
  return { preferred: local.slice(0, count), fallbacks: [...local.slice(count), ...ranked.filter(({ dataCentre }) => dataCentre !== host.dataCentre)] }
}
