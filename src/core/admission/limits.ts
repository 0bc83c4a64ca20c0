/** Limits of one slot. */

interface Opening {
  /** Maximum number of connections being opened at once. */
  readonly most: number
  /** Minimum time between two openings. */
  readonly intervalMs: number
  /** Pause after the first failure; it doubles with each further one. */
  readonly backOffMs: number
  readonly maxBackOffMs: number
}

interface Fields {
  readonly connections: number
  /** Maximum number of waiting requests of all classes together; bounds the queue's memory. */
  readonly maxQueued: number
  /** By rank: connections that lower classes leave free. */
  readonly reserved: readonly number[]
  /** By rank: maximum number of connections that transactions of the class and of those below it may pin. */
  readonly maxPinned: readonly number[]
  readonly opening: Opening
  /** Maximum retry-after time, before jitter. */
  readonly maxRetryAfterMs: number
  /** Share of a class's connections set aside for refused callers that come back; the rest is for new requests. */
  readonly retryShare: number
  /** Retry-after times are extended at random by up to this share. */
  readonly jitter: number
}

/** Shares of a slot's connections, by rank. */
const RESERVED_SHARES = [1 / 8, 1 / 8, 0]
const MAX_PINNED_SHARES = [7 / 8, 5 / 8, 1 / 4]
const QUEUED_PER_CONNECTION = 128

/** Immutable; `with` returns a copy with some limits changed. */
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

  /** The limits of a slot with this many connections for requests. At least one connection serves every class. */
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
