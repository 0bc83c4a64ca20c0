/** Sessions of a team meet at owners of their own data centre. */

import type { TeamAffinity } from './teamaffinity.ts'

/** A team's sessions lie on so many times the owners that its part would fill: hosts differ, and sessions don't spread evenly. */
const SPREAD_FACTOR = 2

/**
 * A connection serves one team, and an owner has a few to each endpoint: so each team has owners of its own in each data centre, one for a small
 * team, and more by the part that it may ask.
 */
export const dataCentreAffinity: TeamAffinity = (host, { share }, ranked) => {
  const near = ranked.filter(({ dataCentre }) => dataCentre === host.dataCentre)
  const count = Math.max(1, Math.ceil(share * near.length * SPREAD_FACTOR))
  return { preferred: near.slice(0, count), fallbacks: [...near.slice(count), ...ranked.filter(({ dataCentre }) => dataCentre !== host.dataCentre)] }
}
