/** The requests under way on one slot. */

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

/** Knows every request that has no outcome yet, so that all can be ended at once. */
export class RunningRequests {
  private readonly started = new Set<TrackedRequest>()

  private constructor () {}

  static create (): RunningRequests {
    return new RunningRequests()
  }

  start (req: Run, sink: Sink, run: (sink: Sink) => Running): Running {
    const one: TrackedRequest = { req, sink }
    this.started.add(one)
    const running = run({
      head: columns => sink.head(columns),
      rows: rows => sink.rows(rows),
      done: done => { if (this.started.delete(one)) sink.done(done) }
    })
    one.running = running
    return {
      credit: bytes => running.credit(bytes),
      cancel: () => {
        this.started.delete(one)
        running.cancel()
      }
    }
  }

  /**
   * Against callers that wait for a primary which was replaced: frozen or cut
   * off, it may never answer, and each would wait until its deadline. Nothing
   * it does can be acknowledged any more. A write may have run there, so its
   * outcome is unknown; a read is tried elsewhere.
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
