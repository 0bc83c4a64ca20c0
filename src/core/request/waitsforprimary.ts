/** Which requests wait out a failover. */

import type { statementKind } from '../routing/statementkind.ts'

/**
 * Urgent requests wait for a new primary, and so do reads that somebody waits
 * for: while the new primary's replicas are being told to follow it, a read
 * can't be proved fresh for some milliseconds. Browsing and other writes are
 * told at once when to come back, so that they don't fill the queues.
 */
export function waitsForPrimary (kind: ReturnType<typeof statementKind>, cls: 'urgent' | 'normal' | 'browsing' | undefined): boolean {
  if (cls === 'urgent') return true
  return kind === 'read' && cls !== 'browsing'
}
