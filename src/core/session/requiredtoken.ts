/** What a read of a session must see of its group. */

import type { Group } from '../group/group.ts'
import type { Token } from '../token.ts'
import type { RecentWrites } from './recentwrites.ts'

interface SessionRead {
  readonly group: Group
  /** The newest write of the session that this process, or the caller, knows of. */
  readonly known: Token
  /** For a session that may have written elsewhere: the group's bound, asked for after the read arrived. */
  readonly bound: Token | undefined
  readonly writes: RecentWrites
  readonly session: number
}

/** The least token that is proved to cover every acknowledged write of the session. */
export function requiredToken ({ group, known, bound, writes, session }: SessionRead): Token {
  if (bound === undefined) return known
  return writes.narrowBound(bound, session, group.minApplied).max(known)
}
