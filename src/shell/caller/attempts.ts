/** The attempts of one request: tried until it has an outcome. */

import { randomUUID } from 'node:crypto'
import { Done_Outcome as DoneOutcome, Run_Access as RunAccess, type Done } from '../../gen/peer_pb.ts'
import type { Instant } from '../../core/id/instant.ts'
import type { Hints } from '../../core/routing/hints.ts'
import type { Reply } from '../mysql/reply.ts'
import { refusal } from '../peer/answer.ts'
import type { CallerContext } from './context.ts'
import type { Identity } from './identity.ts'
import { relay } from './relay.ts'
import type { Target } from './target.ts'

interface Request {
  readonly sql: string
  /** What the statement is, for the metrics. */
  readonly kind: string
  readonly identity: Identity
  readonly hints: Hints
  readonly deadline: Instant
  /** Whether the caller asked in the binary protocol. */
  readonly isBinary: boolean
  /** Whether it may be tried again after a proof that it didn't run; a statement of a transaction may not. */
  readonly isAlone: boolean
  readonly target: (ms: number) => Promise<Target>
}

const RETRY_MS = 20
const FINAL: ReadonlySet<string> = new Set(['busy', 'lostWrite', 'lostTransaction'])

/** Tries again only what is proved not run, within the deadline. The signal is the caller's leaving. */
export async function attempt (context: CallerContext, req: Request, reply: Reply, signal: AbortSignal): Promise<Done> {
  const request = req.hints.fields.once ?? randomUUID()
  for (;;) {
    const left = Math.max(1, Math.ceil(req.deadline - context.now()))
    const target = await req.target(left)
    const done = target.kind === 'nowhere'
      ? refusal(0, target.reason, '', RETRY_MS)
      : await relay(context.port(target.endpoint), {
        endpoint: target.endpoint,
        sql: req.sql,
        access: target.access,
        transaction: target.transaction,
        deadlineMs: left,
        class: req.hints.fields.class ?? 'normal',
        caller: req.identity.caller,
        request,
        once: req.hints.fields.once ?? '',
        term: 0,
        position: 0,
        database: req.identity.group.database
      }, reply, req.isBinary, signal)
    const mayRetry = req.isAlone && done.outcome === DoneOutcome.NOT_RUN && !reply.hasStarted && !FINAL.has(done.reason)
    if (!mayRetry || signal.aborted || req.deadline - context.now() <= RETRY_MS) {
      context.metrics.requests.inc({ kind: req.kind, place: placeOf(target), outcome: DoneOutcome[done.outcome].toLowerCase() })
      return done
    }
    await context.groups.changed(RETRY_MS)
  }
}

function placeOf (target: Target): string {
  if (target.kind === 'nowhere') return 'none'
  return target.access === RunAccess.READ ? 'replica' : 'primary'
}
