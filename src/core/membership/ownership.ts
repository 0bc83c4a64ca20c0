/**
 * Whether a process takes, keeps or hands over a slot of one endpoint.
 *
 * A slot is taken only while fewer other hosts hold one than the endpoint has,
 * and is handed over only to a host that is linked. So a slot that moves has no
 * owner for a moment, and never two that reach each other.
 */

interface SlotState {
  /** The number of slots of the endpoint. */
  readonly slots: number
  readonly isHeld: boolean
  /** Whether a slot is assigned to this host. */
  readonly isAssigned: boolean
  /** Other hosts that reported a slot of the endpoint. */
  readonly otherHolders: number
  /** Other hosts that may hold one and haven't reported yet. */
  readonly unknownHolders: number
  /** Whether the slots are assigned to any hosts, and all of those are linked. */
  readonly hasSuccessor: boolean
}

/** `wait` is for a slot that is assigned to this host and that its old owner hasn't released yet. */
export function decideOwnership (state: SlotState): 'none' | 'wait' | 'take' | 'keep' | 'handOver' {
  const { isHeld, isAssigned, hasSuccessor, otherHolders, unknownHolders, slots } = state
  if (isHeld) return isAssigned || !hasSuccessor ? 'keep' : 'handOver'
  if (!isAssigned) return 'none'
  return otherHolders + unknownHolders < slots ? 'take' : 'wait'
}
