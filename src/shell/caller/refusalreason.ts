/** Finds requests to refuse before routing, because their outcome could not be determined reliably. */

import type { ReasonName } from '../../core/reasonname.ts'
import { implicitCommit } from '../../core/request/implicitcommit.ts'
import type { CallerTransaction } from './transaction.ts'

interface ParsedRequest {
  readonly sql: string
  readonly isRead: boolean
  /** The idempotency key of the statement, else of the connection; empty without one. */
  readonly once: string
  /** The idempotency key in the statement's own hints; empty without one. */
  readonly statementOnce: string
}

/** The reason to refuse the request; undefined when it is acceptable. */
export function refusalReason ({ sql, isRead, once, statementOnce: ownOnce }: ParsedRequest, transaction: CallerTransaction | undefined): ReasonName | undefined {
  const commits = implicitCommit(sql)
  if (transaction !== undefined) {
    if (commits === 'always') return 'implicitCommit'
    return ownOnce !== '' && ownOnce !== transaction.once ? 'onceInside' : undefined
  }
  const isBegin = /^\s*(?:\/\*[\s\S]*?\*\/\s*)*(?:begin|start\s+transaction)\b/i.test(sql)
  return once !== '' && !isRead && !isBegin && commits !== 'never' ? 'onceImplicit' : undefined
}
