/** A slot's answer to a request that gets no connection. */

type Reason = 'busy' | 'unreachable'

/** The request was never sent. `retryAfterMs` is when to come back. */
export class SlotRefusal extends Error {
  private constructor (readonly reason: Reason, readonly retryAfterMs: number) {
    super(`${reason}; come back after ${retryAfterMs}ms`)
  }

  static of (reason: Reason, retryAfterMs: number): SlotRefusal {
    return new SlotRefusal(reason, retryAfterMs)
  }
}
