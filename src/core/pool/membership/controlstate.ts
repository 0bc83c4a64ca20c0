/** All that the control of a host remembers. */

import type { Instant } from '../../id/instant.ts'
import type { Followers } from './followers.ts'
import type { HostEntry } from './hostentry.ts'
import type { LinkId } from './linkid.ts'
import type { Links } from './links.ts'
import type { Pace } from './pace.ts'
import type { Question } from './question.ts'
import type { Ranking } from './ranking.ts'
import type { Roll } from './roll.ts'
import type { Soundness } from './soundness.ts'
import type { Table } from './table.ts'
import type { TableName } from './tablename.ts'

export interface ControlState {
  readonly pace: Pace
  /** Hosts that the settings name, for the time in which no other is known. */
  readonly seeds: readonly LinkId[]
  /** Whether the settings name this one. */
  readonly isSeed: boolean
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean
  readonly self: HostEntry
  readonly startedAt: Instant
  readonly tickedAt: Instant
  readonly tables: Readonly<Record<TableName, Table>>
  readonly questions: Readonly<Record<TableName, Question>>
  /** How old what is known of the tables may be. */
  readonly soundness: Soundness
  readonly links: Links
  readonly followers: Followers
  readonly roll: Roll
  readonly ranking: Ranking
  readonly rankedAt: Instant
  /** When a host that hears from the store last said so, of this data centre, and of any; at first when this one started. */
  readonly nearAt: Instant
  readonly coveredAt: Instant
  /** When this host last spoke to those that follow it, and to those that it follows. */
  readonly beatAt: Instant
  readonly spokeAt: Instant
  /** This host's own row of the roll: as it was written last, empty when it isn't known what the store has; when; and when another may be at the soonest. */
  readonly row: { readonly value: string, readonly at: Instant, readonly notBefore: Instant, readonly isOpen: boolean }
  /** When the copy of the configuration may be written next. */
  readonly copy: { readonly notBefore: Instant, readonly isOpen: boolean }
  /** Hosts that have something newer, and until when they are followed for it. */
  readonly consulted: ReadonlyMap<LinkId, Instant>
}
