/** What becomes of a session whose owner hasn't answered a statement for some time. */

interface Evidence {
  /** What became of a new connection to the owner. */
  readonly owner: 'taken' | 'refused' | 'silent'
  /** Whether another host answered one in the meantime; undefined when none was asked. */
  readonly isOtherReached: boolean | undefined
  /** Whether the answer is out for longer than a statement may take. */
  readonly isOverdue: boolean
}

/**
 * A host whose own link or processor is busy reaches nobody in time, and ending its sessions would only lose answers that are under way.
 * So an owner that is silent counts as unreachable only while another host is reached; one that refuses has said so itself.
 */
export function ownerVerdict ({ owner, isOtherReached, isOverdue }: Evidence): 'unreachable' | 'overdue' | 'wait' {
  if (isOverdue) return 'overdue'
  if (owner === 'refused') return 'unreachable'
  return owner === 'taken' || isOtherReached === false ? 'wait' : 'unreachable'
}
