/** The position that a read of a session requires of its group. */

import type { Group } from '../group/group.ts'
import type { Token } from '../token.ts'
import type { RecentWrites } from './recentwrites.ts'

interface SessionRead {
  readonly group: Group
  /** The session's newest write known to this process or to the caller. */
  readonly known: Token
  /** For a session that may have written through other processes: the group's bound, asked for after the read arrived. */
  readonly bound: Token | undefined
  readonly writes: RecentWrites
  readonly session: number
}

/** The lowest token that is proved to cover every acknowledged write of the session. */
export function requiredToken ({ group, known, bound, writes, session }: SessionRead): Token {
  if (bound === undefined) return known
  return writes.narrowBound(bound, session, group.minApplied).max(known)
}
