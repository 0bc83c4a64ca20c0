/** The limits of admission to one endpoint's connections. */

import { Limits } from '../../../core/admission/limits.ts'

/**
 * A host's share may be two connections, so the reserves that a slot of many
 * keeps for the urgent don't fit: a transaction may take any of them, but the
 * lowest class leaves one.
 */
export function limitsOf (connections: number): Limits {
  const lowest = Math.max(1, connections - 1)
  return Limits.of(connections).with({ maxPinned: [connections, connections, lowest] })
}
