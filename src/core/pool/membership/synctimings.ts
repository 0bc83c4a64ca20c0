/** Intervals and timeouts of the table sync, derived from the settings. */

import type { TableName } from './tablename.ts'

interface Bounds {
  /** Time within which a new configuration must be in force. */
  readonly applyMs: number
  /** Time for which an endpoint keeps serving after it announced that it leaves. */
  readonly drainMs: number
  /** Time for which the store keeps its history of changes. */
  readonly historyMs: number
  /** Time after which no host accepts a revoked key, even without a connection to the store; undefined for no bound. */
  readonly revokeMs?: number | undefined
}

/** Share of the configuration's bound for a long poll, since a dead connection is noticed only when the poll ends. */
const LONG_POLL_SHARE = 0.5
/** The same for the list of endpoints, as a share of the drain time; the rest of it is for replacing the primary. */
const ENDPOINTS_LONG_POLL_SHARE = 0.4
/** Long poll of tables without a bound: leases, token issuers and the host registry. Changes of them aren't needed to serve. */
const UNBOUNDED_LONG_POLL_MS = 8000
/** The rest of the revocation bound is for the way of a statement from the check to its endpoint, and for clock drift. */
const KEY_AGE_SHARE = 0.95
/** Shares of the configuration's bound for an answer that doesn't come, and for a silent reader. */
const ANSWER_SHARE = 1 / 6
const SILENCE_SHARE = 1 / 6
/** Share of the store's history after which the configuration's copy is renewed, so that its version stays within the history. */
const COPY_INTERVAL_SHARE = 1 / 4
/** Timeout of each call to the store. */
const MAX_ANSWER_MS = 750
/** Heartbeats per silence timeout, so that one may be late. */
const HEARTBEATS_PER_TIMEOUT = 2.5

/** Immutable. All in milliseconds. */
export class SyncTimings {
  private constructor (
    /** How long a long poll of each table lasts. */
    readonly longPollMs: Readonly<Record<TableName, number>>,
    /** An answer that is later than this counts as lost. */
    readonly answerMs: number,
    /** A source that sends nothing for this time counts as unreachable. */
    readonly silenceTimeoutMs: number,
    /** Interval of heartbeats to followers. */
    readonly heartbeatMs: number,
    /** Interval at which the configuration's copy is renewed. */
    readonly copyIntervalMs: number,
    /** The age that the configuration of a host with a current source doesn't exceed. */
    readonly normalConfigAgeMs: number,
    /** Keys aren't accepted by an older configuration; infinite without a bound for revoked keys. */
    readonly maxConfigAgeMs: number,
    /** Tokens aren't issued by an older shared table. */
    readonly maxSharedAgeMs: number
  ) {}

  /**
   * In the worst case a reader's connection dies just before a change (long poll and answer time pass), the hosts that replace it are
   * silent as well (a silence timeout passes), and the store is queried directly: 1/2 + 1/6 + 1/6 of the bound, plus one call.
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
