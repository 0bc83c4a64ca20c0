/** The error of a request that gets no connection of a slot. */

type Reason = 'busy' | 'unreachable'

/** The request was not sent. `retryAfterMs` is the delay before a retry. */
export class SlotRefusal extends Error {
  private constructor (readonly reason: Reason, readonly retryAfterMs: number) {
    super(`${reason}; come back after ${retryAfterMs}ms`)
  }

  static of (reason: Reason, retryAfterMs: number): SlotRefusal {
    return new SlotRefusal(reason, retryAfterMs)
  }
}
