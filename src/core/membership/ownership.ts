/**
 * Whether a process takes, keeps or hands over a slot of one endpoint.
 *
 * A slot is taken only where fewer others hold one than the endpoint has, and
 * is given away only to a host that answers. So a slot that moves is empty for a
 * moment and never held twice by processes that reach each other.
 */

interface SlotState {
  /** How many slots the endpoint has. */
  readonly slots: number
  readonly isHeld: boolean
  /** Whether placement names this host. */
  readonly isAssigned: boolean
  /** Others that say they hold a slot of the endpoint. */
  readonly otherHolders: number
  /** Others that may hold one and haven't said. */
  readonly unknownHolders: number
  /** Whether placement names somebody, and all whom it names are linked. */
  readonly hasSuccessor: boolean
}

/** `wait` is for a slot that will fall to this host when its old owner has left it. */
export function decideOwnership (standing: SlotState): 'none' | 'wait' | 'take' | 'keep' | 'handOver' {
  const { isHeld, isAssigned: isDue, hasSuccessor, otherHolders: others, unknownHolders: unknown, slots } = standing
  if (isHeld) return isDue || !hasSuccessor ? 'keep' : 'handOver'
  if (!isDue) return 'none'
  return others + unknown < slots ? 'take' : 'wait'
}
