/** Converts a `Run` frame to a `RunSpec`. */

import { Run_Access as RunAccess, type Run } from '../../gen/peer_pb.ts'
import { implicitCommit } from '../../core/request/implicitcommit.ts'
import type { RunSpec } from '../../core/request/runspec.ts'
import { statementKind } from '../../core/routing/statementkind.ts'

export function runSpecOf (req: Pick<Run, 'access' | 'sql' | 'once'>): RunSpec {
  return { access: accessOf(req), hasIdempotencyKey: req.once !== '', mayCommitImplicitly: implicitCommit(req.sql) === 'may' }
}

function accessOf ({ access, sql }: Pick<Run, 'access' | 'sql'>): RunSpec['access'] {
  switch (access) {
    case RunAccess.READ: return 'read'
    case RunAccess.STRICT: return 'strict'
    case RunAccess.COMMIT: return 'commit'
    case RunAccess.ROLLBACK: return 'rollback'
    case RunAccess.TRANSACTION: return statementKind(sql) === 'begin' ? 'begin' : 'inside'
    default: return sql === '' ? 'settle' : 'write'
  }
}
