/**
 * When a leaving process closes a caller's connection.
 *
 * The MySQL protocol has no word for "don't send any more": a request can be
 * under way while the server closes. It is never run then, but its caller
 * can't know. So a connection is closed right after an answer, which is when
 * its caller has nothing under way, and only when that caller has always
 * taken its time before the next request. One that never pauses is served
 * until its time is over and is then told in so many words that its request
 * wasn't run.
 */

interface ConnectionState {
  /** `asked`: a request has arrived. `answered`: its answer was just written. `idle`: neither, some time later. */
  readonly kind: 'asked' | 'answered' | 'idle'
  readonly isInTransaction: boolean
  /** Since the last answer. */
  readonly idleMs: number
  /** The shortest time that this caller took between an answer and its next request; infinite before there was one. */
  readonly shortestGapMs: number
  /** Since the process began to leave. */
  readonly leavingMs: number
}

interface Timings {
  /** What an open transaction gets. */
  readonly transactionsMs: number
  /** What a caller without a pause gets. */
  readonly callersMs: number
  /** A caller that was idle for so long is closed between requests. */
  readonly idleMs: number
  /** A caller that always pauses for so long is closed right after an answer. */
  readonly pauseMs: number
}

/** `go`: run the request, or leave the connection open. `refuse`: answer that it wasn't run, and close. */
export function decideClosing (moment: ConnectionState, pace: Timings): 'go' | 'refuse' | 'close' {
  const { kind, isInTransaction, idleMs, shortestGapMs, leavingMs } = moment
  const isOver = leavingMs >= (isInTransaction ? pace.transactionsMs : pace.callersMs)
  if (kind === 'asked') return isOver ? 'refuse' : 'go'
  if (isInTransaction) return isOver ? 'close' : 'go'
  const isPausing = kind === 'answered' ? shortestGapMs >= pace.pauseMs : idleMs >= pace.idleMs
  return isPausing ? 'close' : 'go'
}
