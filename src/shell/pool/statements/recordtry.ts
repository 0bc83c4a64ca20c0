/** Counts a try and adds it to the trail of its statement. */

import type { TryHistory } from '../../../core/pool/statements/tryhistory.ts'
import type { Try } from '../../../core/pool/statements/try.ts'
import { clock } from '../clock.ts'
import type { PoolContext } from '../context.ts'

export function recordTry ({ metrics }: PoolContext, trail: TryHistory, one: Omit<Try, 'startMs'>): void {
  trail.add({ ...one, startMs: clock.now() - one.ms - trail.since })
  metrics.tries.inc({ ending: one.ending })
  metrics.trySeconds.observe({ dependency: 'endpoint' }, one.ms / 1000)
}
