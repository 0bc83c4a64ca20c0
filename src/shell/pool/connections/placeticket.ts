/** A request for a place at an endpoint, from waiting for it to returning it. */

import type { Ending } from '../../../core/pool/statements/ending.ts'

/** Returning a place twice, or one that wasn't granted, has no effect. */
export interface PlaceTicket {
  /** Resolves with false if the place wasn't granted in time; nothing may be sent then. */
  readonly granted: Promise<boolean>
  /** Stops waiting; has no effect once the place is granted. */
  cancel (): void
  /** Returns the place. `ending`: how its statement or opening ended; `notSent` if nothing was sent to the endpoint. */
  returnPlace (ending: Ending | 'done' | 'notSent'): void
}
