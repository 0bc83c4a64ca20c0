/** Tells a caller the outcome of its request in MySQL's terms. */

import { Done_Outcome as DoneOutcome, type Done } from '../../gen/peer_pb.ts'
import type { Reply } from '../mysql/reply.ts'

/** Ends the reply. A refusal names its outcome and, where there is one, the time to come back. */
export function answerCaller (done: Done, reply: Reply, inTransaction: boolean): void {
  switch (done.outcome) {
    case DoneOutcome.DONE: return succeed(done, reply, inTransaction)
    case DoneOutcome.FAILED: return reply.error(done.code, done.message)
    default: return refuse(done, reply)
  }
}

function succeed (done: Done, reply: Reply, inTransaction: boolean): void {
  if (reply.hasStarted) return reply.end(inTransaction)
  const message = done.position > 0 ? `token=${done.term}:${done.position}` : ''
  reply.ok({ affected: done.affected, insertId: done.insertId, inTransaction, message })
}

function refuse (done: Done, reply: Reply): void {
  const outcome = done.outcome === DoneOutcome.NOT_RUN ? 'not run' : 'outcome unknown'
  const again = done.retryAfterMs > 0 ? `; come back after ${done.retryAfterMs}ms` : ''
  reply.error(done.code, `${outcome}: ${done.message}${again}`)
}
