/** The places whose issuers didn't answer this host lately. */

import type { Instant } from '../id/instant.ts'

interface BackOffEntry {
  readonly times: number
  readonly until: Instant
}

/** A place is asked again after so long, since a question is a datagram and a process that starts is there within a few hundred milliseconds; twice as long after each further silence, */
const INITIAL_BACK_OFF_MS = 100
/** up to this: of hosts behind a cut a few questions a second stay open. */
const MAX_BACK_OFF_MS = 1600

/** Changes in place. What one team's question finds out holds for all. */
export class IssuerBackOff {
  private readonly silent = new Map<number, BackOffEntry>()

  private constructor () {}

  static create (): IssuerBackOff {
    return new IssuerBackOff()
  }

  answered (place: number): void {
    this.silent.delete(place)
  }

  recordTimeout (place: number, now: Instant): void {
    const times = (this.silent.get(place)?.times ?? 0) + 1
    this.silent.set(place, { times, until: now + Math.min(MAX_BACK_OFF_MS, INITIAL_BACK_OFF_MS * 2 ** (times - 1)) as Instant })
  }

  /** Until when the place isn't asked; undefined when it may be. */
  until (place: number, now: Instant): Instant | undefined {
    const until = this.silent.get(place)?.until
    return until !== undefined && until > now ? until : undefined
  }
}
