/** The times by which hosts follow the store and each other, worked out from the settings. */

import type { TableName } from './tablename.ts'

interface Bounds {
  /** Milliseconds within which a new configuration is to be in force. */
  readonly applyMs: number
  /** Milliseconds for which an endpoint serves after it said that it leaves. */
  readonly drainMs: number
  /** Milliseconds for which the store knows what changed. */
  readonly historyMs: number
  /** Milliseconds after which a key that was taken away is served by no host any more, in touch or not; undefined where that isn't asked. */
  readonly revokeMs?: number | undefined
}

/** A question to the store is held open for this part of the bound: a connection that went silent is found, and replaced, within it. */
const LONG_POLL_SHARE = 0.5
/** The same for the list of endpoints, whose bound is longer; the rest of it is for a replacement of the primary. */
const ENDPOINTS_LONG_POLL_SHARE = 0.4
/** Leases, the hosts that issue tokens and the roll of hosts have no bound, and a change of any isn't needed to serve, so a silent connection may be found late. */
const UNBOUNDED_LONG_POLL_MS = 8000
/** Of the bound for keys that were taken away a part is left for the way of a statement from its check to its endpoint, and for clocks that run apart. */
const KEY_AGE_SHARE = 0.95
/** The parts of the bound that are for an answer that doesn't come, and for a reader that goes silent; with the wait they leave three tenths for the rest. */
const ANSWER_SHARE = 1 / 6
const SILENCE_SHARE = 1 / 6
/** The copy of the configuration is said to be as new as it is so often: what it says is then young enough for the store also after a second or two without any host. */
const COPY_INTERVAL_SHARE = 1 / 4
/** A store that answers at all does so within this time; the limit of each call. */
const MAX_ANSWER_MS = 750
/** Words in the time after which a reader counts as silent: one may be late. */
const HEARTBEATS_PER_TIMEOUT = 2.5

/** Immutable. All in milliseconds. */
export class SyncTimings {
  private constructor (
    /** How long the store may hold a question open. */
    readonly longPollMs: Readonly<Record<TableName, number>>,
    /** An answer that is later than this doesn't come. */
    readonly answerMs: number,
    /** A reader that says nothing for so long is gone or out of reach. */
    readonly silenceTimeoutMs: number,
    /** How often a reader speaks to those that follow it. */
    readonly heartbeatMs: number,
    /** How often the copy of the configuration is said to be as new as it is. */
    readonly copyIntervalMs: number,
    /** A host that hears from the store as a rule knows the configuration so late at most. */
    readonly normalConfigAgeMs: number,
    /** Nothing that needs a key is sent on an older configuration; infinite where keys that were taken away may be served for longer. */
    readonly maxConfigAgeMs: number,
    /** Nothing is issued on older knowledge of the shared table. */
    readonly maxSharedAgeMs: number
  ) {}

  /**
   * The worst case that is added up here: a reader's question to the store goes silent just before a change (the wait and
   * an answer's time pass), then those that take its place are silent too (a reader's silence passes), and the store is asked directly:
   * 1/2 + 1/6 + 1/6 of the bound, and one call.
   */
  static of ({ applyMs, drainMs, historyMs, revokeMs = Infinity }: Bounds): SyncTimings {
    const boundMs = Math.min(applyMs, revokeMs)
    const silentMs = Math.round(boundMs * SILENCE_SHARE)
    const answerMs = Math.min(MAX_ANSWER_MS, Math.round(boundMs * ANSWER_SHARE))
    const beatMs = Math.round(silentMs / HEARTBEATS_PER_TIMEOUT)
    const waitMs = {
      config: Math.round(boundMs * LONG_POLL_SHARE),
      endpoints: Math.round(drainMs * ENDPOINTS_LONG_POLL_SHARE),
      shared: UNBOUNDED_LONG_POLL_MS,
      roll: UNBOUNDED_LONG_POLL_MS
    }
    return new SyncTimings(waitMs, answerMs, silentMs, beatMs, Math.round(historyMs * COPY_INTERVAL_SHARE), waitMs.config + answerMs + 2 * beatMs, revokeMs * KEY_AGE_SHARE, waitMs.shared + answerMs + silentMs)
  }
}
