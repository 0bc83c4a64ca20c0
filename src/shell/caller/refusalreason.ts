/** Requests that the proxy refuses before it routes them, because no outcome of theirs could be told truly. */

import type { ReasonName } from '../../core/reasonname.ts'
import { implicitCommit } from '../../core/request/implicitcommit.ts'
import type { CallerTransaction } from './transaction.ts'

interface ParsedRequest {
  readonly sql: string
  readonly isRead: boolean
  /** The key of the connection or the request; empty without one. */
  readonly once: string
  /** The key of the request itself. */
  readonly statementOnce: string
}

/** Why the request can't be taken; undefined when it can. */
export function refusalReason ({ sql, isRead, once, statementOnce: ownOnce }: ParsedRequest, transaction: CallerTransaction | undefined): ReasonName | undefined {
  const commits = implicitCommit(sql)
  if (transaction !== undefined) {
    if (commits === 'always') return 'implicitCommit'
    return ownOnce !== '' && ownOnce !== transaction.once ? 'onceInside' : undefined
  }
  const isBegin = /^\s*(?:\/\*[\s\S]*?\*\/\s*)*(?:begin|start\s+transaction)\b/i.test(sql)
  return once !== '' && !isRead && !isBegin && commits !== 'never' ? 'onceImplicit' : undefined
}
