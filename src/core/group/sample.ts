/** A sample of an endpoint: what its server reported, and when it was asked. */

import type { EndpointId } from '../id/endpoint.ts'
import type { Instant } from '../id/instant.ts'
import type { Position } from '../id/position.ts'
import type { Term } from '../id/term.ts'
import { TermHistory } from '../termhistory.ts'

interface Fields {
  readonly endpoint: EndpointId
  readonly role: 'primary' | 'replica' | 'sealed'
  /** The highest term of which the server has accepted an order. */
  readonly term: Term
  /** The term of the last entry of its log. */
  readonly lastTerm: Term
  readonly received: Position
  readonly applied: Position
  readonly history: TermHistory
  /** When the question was sent; the answer was true at this instant or later. */
  readonly at: Instant
  /** Requests waiting for a connection of the slot. */
  readonly queued: number
  /** False when the slot owner couldn't reach the server; the other fields are then the last known. */
  readonly reachable: boolean
}

/** One answer of an endpoint. Immutable. */
export class Sample implements Fields {
  readonly endpoint: EndpointId
  readonly role: Fields['role']
  readonly term: Term
  readonly lastTerm: Term
  readonly received: Position
  readonly applied: Position
  readonly history: TermHistory
  readonly at: Instant
  readonly queued: number
  readonly reachable: boolean

  private constructor (fields: Fields) {
    this.endpoint = fields.endpoint
    this.role = fields.role
    this.term = fields.term
    this.lastTerm = fields.lastTerm
    this.received = fields.received
    this.applied = fields.applied
    this.history = fields.history
    this.at = fields.at
    this.queued = fields.queued
    this.reachable = fields.reachable
  }

  static of (fields: Fields): Sample {
    return new Sample(fields)
  }

  static unknown (endpoint: EndpointId): Sample {
    return new Sample({
      endpoint,
      role: 'replica',
      term: 0 as Term,
      lastTerm: 0 as Term,
      received: 0 as Position,
      applied: 0 as Position,
      history: TermHistory.empty,
      at: 0 as Instant,
      queued: 0,
      reachable: false
    })
  }

  /**
   * The newest term of which the log holds the whole past, as if every promotion
   * had written an entry. The term of the last entry isn't enough: a primary that
   * fails before its first write leaves logs that hold what it confirmed but end
   * in an older entry, and an unconfirmed log of a term in between would count as
   * newer.
   */
  get logTerm (): Term {
    return Math.max(this.lastTerm, this.history.termAt(this.received)) as Term
  }

  /** Whether this log is newer: by its term first, then by its length. */
  isAheadOf (other: Sample): boolean {
    if (this.logTerm !== other.logTerm) return this.logTerm > other.logTerm
    return this.received > other.received
  }

  with (change: Partial<Fields>): Sample {
    return new Sample({ ...this, ...change })
  }
}
