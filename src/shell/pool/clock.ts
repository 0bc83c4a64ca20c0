/** The clocks of a process. */

import { performance } from 'node:perf_hooks'
import type { Instant } from '../../core/id/instant.ts'
import { AgeClock } from '../../core/pool/reads/ageclock.ts'

const ages = AgeClock.create()

/** `now` is for deadlines and pauses; `age`, for the age of samples, doesn't hide that the host was suspended. */
export const clock = {
  now: (): Instant => performance.now() as Instant,
  age: (): Instant => ages.at(performance.now(), Date.now())
}
