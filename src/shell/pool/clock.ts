/** The clocks of this process. */

import { performance } from 'node:perf_hooks'
import type { Instant } from '../../core/id/instant.ts'
import { AgeClock } from '../../core/pool/reads/ageclock.ts'

const ages = AgeClock.create()

/** `now` is monotonic, for deadlines and pauses; `age` also counts the time for which the host was suspended, for the age of samples. */
export const clock = {
  now: (): Instant => performance.now() as Instant,
  age: (): Instant => ages.at(performance.now(), Date.now())
}
