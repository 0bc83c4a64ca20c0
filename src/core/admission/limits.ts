/** The limits of one slot. */

interface Opening {
  /** Most openings under way at once. */
  readonly most: number
  /** Least time from one opening to the next. */
  readonly intervalMs: number
  /** The pause after the first failure; it doubles with each further one. */
  readonly backOffMs: number
  readonly maxBackOffMs: number
}

interface Fields {
  readonly connections: number
  /** Most requests that wait, of all classes together: the bound on the queue's memory. */
  readonly maxQueued: number
  /** Connections by rank that lower classes leave alone. */
  readonly reserved: readonly number[]
  /** Most connections by rank that transactions of the class and of those below it may hold. */
  readonly maxPinned: readonly number[]
  readonly opening: Opening
  /** The longest time to come back, before the jitter. */
  readonly maxRetryAfterMs: number
  /** The share of a class's connections that is booked out to those told to come back; the rest is left to new requests. */
  readonly retryShare: number
  /** The time to come back is stretched by up to this share of itself. */
  readonly jitter: number
}

/** Shares of the connections, by rank. */
const RESERVED_SHARES = [1 / 8, 1 / 8, 0]
const MAX_PINNED_SHARES = [7 / 8, 5 / 8, 1 / 4]
const QUEUED_PER_CONNECTION = 128

/** Immutable; `with` yields limits that differ. */
export class Limits implements Fields {
  readonly connections: number
  readonly maxQueued: number
  readonly reserved: readonly number[]
  readonly maxPinned: readonly number[]
  readonly opening: Opening
  readonly maxRetryAfterMs: number
  readonly retryShare: number
  readonly jitter: number

  private constructor (fields: Fields) {
    this.connections = fields.connections
    this.maxQueued = fields.maxQueued
    this.reserved = fields.reserved
    this.maxPinned = fields.maxPinned
    this.opening = fields.opening
    this.maxRetryAfterMs = fields.maxRetryAfterMs
    this.retryShare = fields.retryShare
    this.jitter = fields.jitter
  }

  /** The limits of a slot with so many connections for requests; at least one of them serves every class. */
  static of (connections: number): Limits {
    const most = Math.max(1, connections)
    return new Limits({
      connections: most,
      maxQueued: most * QUEUED_PER_CONNECTION,
      reserved: RESERVED_SHARES.map(share => Math.max(0, Math.min(most - 2, Math.ceil(most * share)))),
      maxPinned: MAX_PINNED_SHARES.map(share => Math.max(1, Math.floor(most * share))),
      opening: { most: 4, intervalMs: 5, backOffMs: 50, maxBackOffMs: 1000 },
      maxRetryAfterMs: 60_000,
      retryShare: 1 / 4,
      jitter: 0.5
    })
  }

  with (change: Partial<Fields>): Limits {
    return new Limits({ ...this, ...change })
  }
}
