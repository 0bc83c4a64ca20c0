/** Counts a try, and notes it for the line that explains its statement. */

import type { Trail } from '../../core/pool/trail.ts'
import type { PoolContext } from './context.ts'

export function noteTry ({ metrics }: PoolContext, trail: Trail, one: Parameters<Trail['add']>[0]): void {
  trail.add(one)
  metrics.tries.inc({ ending: one.ending })
  metrics.trySeconds.observe({ dependency: 'endpoint' }, one.ms / 1000)
}
