/** Sends a request's outcome to the caller as a MySQL OK, end-of-rows or error packet. */

import { Done_Outcome as DoneOutcome, type Done } from '../../gen/peer_pb.ts'
import type { Reply } from '../mysql/reply.ts'

/** Ends the reply. The message of a refusal states whether the request ran and, if known, when to retry. */
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
