/** One order for a place at an endpoint, from waiting for it to giving it back. */

import type { Ending } from '../../../core/pool/statements/ending.ts'

/** Giving back twice, or what was never granted, does nothing. */
export interface PlaceTicket {
  /** Resolves with false when it can't be granted in its time; nothing may be sent then. */
  readonly granted: Promise<boolean>
  /** Nobody waits for it any more; one that is granted stays. */
  cancel (): void
  /** Gives the place back. `ending`: how what it was taken for ended; `notSent` when nothing went to the endpoint. */
  returnPlace (ending: Ending | 'done' | 'notSent'): void
}
