/** Admission limits for the connections to one endpoint. */

import { Limits } from '../../../core/admission/limits.ts'

/**
 * A host's share may be as small as two connections, too few for the reserves that a slot keeps for urgent statements.
 * Transactions may take all connections, except that those of the lowest class leave one.
 */
export function limitsOf (connections: number): Limits {
  const lowest = Math.max(1, connections - 1)
  return Limits.of(connections).with({ maxPinned: [connections, connections, lowest] })
}
