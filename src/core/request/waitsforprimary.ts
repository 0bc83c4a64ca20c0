/** Decides which requests wait for the end of a failover. */

import type { statementKind } from '../routing/statementkind.ts'

/**
 * Urgent requests wait for a new primary, and so do all reads but those of class `browsing`: for some milliseconds after a promotion, while
 * replicas are reattached to the new primary, reads can't be proved fresh. Browsing requests and other writes are refused at once with
 * a retry-after time, so that they don't fill the queues.
 */
export function waitsForPrimary (kind: ReturnType<typeof statementKind>, cls: 'urgent' | 'normal' | 'browsing' | undefined): boolean {
  if (cls === 'urgent') return true
  return kind === 'read' && cls !== 'browsing'
}
