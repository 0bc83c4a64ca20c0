/** What becomes of a session whose owner hasn't answered a statement for some time. */

interface Evidence {
  /** Whether the owner took a new connection. */
  readonly isReached: boolean
  /** Whether another host took one in the meantime; undefined when none was asked. */
  readonly isOtherReached: boolean | undefined
  /** Whether the answer is out for longer than a statement may take. */
  readonly isOverdue: boolean
}

/**
 * A host whose own link or processor is busy reaches nobody in time, and ending its sessions would only lose answers that are under way.
 * So an owner counts as unreachable only while another host is reached.
 */
export function ownerVerdict ({ isReached, isOtherReached, isOverdue }: Evidence): 'unreachable' | 'overdue' | 'wait' {
  if (isOverdue) return 'overdue'
  return isReached || isOtherReached === false ? 'wait' : 'unreachable'
}
