/** The running requests of one slot. */

import { Run_Access as RunAccess, type Run } from '../../gen/peer_pb.ts'
import type { ReasonName } from '../../core/reasonname.ts'
import { refusal } from '../peer/refusal.ts'
import type { SlotPort } from '../peer/slotport.ts'

type Sink = Parameters<SlotPort['run']>[1]
type Running = ReturnType<SlotPort['run']>

interface TrackedRequest {
  readonly req: Run
  readonly sink: Sink
  running?: Running
}

/** Tracks the requests that have no outcome yet, so that all can be ended at once. */
export class RunningRequests {
  private readonly started = new Set<TrackedRequest>()

  private constructor () {}

  static create (): RunningRequests {
    return new RunningRequests()
  }

  /** Starts a request with `run`, whose sink is tracked until the outcome or a cancel. */
  start (req: Run, sink: Sink, run: (sink: Sink) => Running): Running {
    const request: TrackedRequest = { req, sink }
    this.started.add(request)
    const running = run({
      head: columns => sink.head(columns),
      rows: rows => sink.rows(rows),
      done: done => { if (this.started.delete(request)) sink.done(done) }
    })
    request.running = running
    return {
      credit: bytes => running.credit(bytes),
      cancel: () => {
        this.started.delete(request)
        running.cancel()
      }
    }
  }

  /**
   * Ends all requests of a primary that was replaced, since it may never
   * answer and its results can't be acknowledged any more. The outcome of a
   * write is unknown, as it may have run; reads are retried elsewhere.
   */
  endAll (): void {
    for (const { req, sink, running } of [...this.started]) {
      running?.cancel()
      sink.done(refusal(req.id, endReason(req.access), 'the primary was replaced'))
    }
    this.started.clear()
  }
}

function endReason (access: RunAccess): ReasonName {
  switch (access) {
    case RunAccess.READ:
    case RunAccess.STRICT: return 'unproved'
    case RunAccess.TRANSACTION: return 'lostTransaction'
    default: return 'lost'
  }
}
