/** Back-off from issuers that didn't answer this host. */

import type { Instant } from '../id/instant.ts'

interface BackOffEntry {
  readonly times: number
  readonly until: Instant
}

/** Delay before an issuer is asked again, since a request is a datagram that may be lost; doubles with each further timeout. */
const INITIAL_BACK_OFF_MS = 100
/** Maximum delay; a few requests a second still go to hosts behind a partition. */
const MAX_BACK_OFF_MS = 1600

/** Mutable. Timeouts of one team's requests count for all teams. */
export class IssuerBackOff {
  private readonly silent = new Map<number, BackOffEntry>()

  private constructor () {}

  static create (): IssuerBackOff {
    return new IssuerBackOff()
  }

  answered (place: number): void {
    this.silent.delete(place)
  }

  /** Starts or doubles the delay of a place whose issuer didn't answer. */
  recordTimeout (place: number, now: Instant): void {
    const times = (this.silent.get(place)?.times ?? 0) + 1
    this.silent.set(place, { times, until: now + Math.min(MAX_BACK_OFF_MS, INITIAL_BACK_OFF_MS * 2 ** (times - 1)) as Instant })
  }

  /** Until when the place isn't asked; undefined if it may be asked now. */
  until (place: number, now: Instant): Instant | undefined {
    const until = this.silent.get(place)?.until
    return until !== undefined && until > now ? until : undefined
  }
}
