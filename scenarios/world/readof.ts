/** The statement that reads some lists. */

import type { Freshness } from '../../src/core/routing/freshness.ts'

/** The kinds of read of a run's configuration are named after their freshness. */
export function readOf (keys: readonly string[], freshness: Freshness): string {
  const kind = freshness.kind === 'age' ? `age-${freshness.ms}` : freshness.kind
  return `/* read=${kind} */ SELECT k, v FROM list WHERE k IN (${keys.map(key => `'${key}'`).join(',')})`
}
