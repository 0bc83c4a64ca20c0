/**
 * When a leaving process closes a caller's connection.
 *
 * The MySQL protocol has no message for "don't send any more": a request can be
 * on its way while the server closes. It isn't run then; its answer is the error
 * that is written before the close, which not every client takes for one. So a
 * connection is closed right after an answer, when nothing is on its way, and
 * only if the caller has always paused before its next request. A caller that
 * never pauses is served until its time limit and is then told that its request
 * wasn't run. What has arrived, whole or in part, is answered before a close.
 */

interface ConnectionState {
  /** `asked`: a request has arrived. `answered`: its answer was just written. `refused`: its refusal was. `idle`: neither, some time later. */
  readonly kind: 'asked' | 'answered' | 'refused' | 'idle'
  /** Whether another request or a part of one has arrived. */
  readonly isReceiving: boolean
  readonly isInTransaction: boolean
  /** Time since the last answer. */
  readonly idleMs: number
  /** The shortest time between an answer and this caller's next request; infinite before there was one. */
  readonly shortestGapMs: number
  /** Time since the process began to leave. */
  readonly leavingMs: number
}

interface Timings {
  /** The time limit of an open transaction. */
  readonly transactionsMs: number
  /** The time limit of a caller that never pauses. */
  readonly callersMs: number
  /** A caller that was idle for this long is closed between requests. What has arrived is read for as long after a time limit. */
  readonly idleMs: number
  /** A caller that always pauses for this long is closed right after an answer. */
  readonly pauseMs: number
}

/** `go`: run the request, or leave the connection open. `refuse`: answer that it wasn't run, and close. */
export function decideClosing (state: ConnectionState, timings: Timings): 'go' | 'refuse' | 'close' {
  const { kind, isInTransaction, isReceiving, idleMs, shortestGapMs, leavingMs } = state
  const limitMs = isInTransaction ? timings.transactionsMs : timings.callersMs
  const isOver = leavingMs >= limitMs
  if (kind === 'asked') return isOver ? 'refuse' : 'go'
  if (isReceiving && leavingMs < limitMs + timings.idleMs) return 'go'
  if (kind === 'refused') return 'close'
  if (isInTransaction) return isOver ? 'close' : 'go'
  const isPausing = kind === 'answered' ? shortestGapMs >= timings.pauseMs : idleMs >= timings.idleMs
  return isPausing ? 'close' : 'go'
}
