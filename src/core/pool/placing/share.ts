/** How many connections to one endpoint an owner may open. */

import { dealt } from './dealt.ts'

/**
 * An equal share, and one at least: with more owners than connections the
 * endpoint's own limit refuses the rest.
 */
export function shareOf (connections: number, owners: number): number {
  return Math.max(1, Math.floor(dealt(connections) / Math.max(1, owners)))
}
