/** How far a follower has got with the large updates of one table. */

import type { Instant } from '../../id/instant.ts'
import type { Backlog } from './backlog.ts'

interface Unconfirmed {
  readonly version: number
  readonly sentAt: Instant
  /** Whether the one before it wasn't confirmed in time either. */
  readonly isRepeated: boolean
}

/**
 * Time for which an update that isn't confirmed keeps other followers waiting. Shorter than a tick, so that each tick serves others; four
 * messages of 7 KB take 32 ms on a link of 7 Mbit/s.
 */
const MAX_TURN_MS = 80
/** Time after which an update that isn't confirmed no longer holds the next one back. */
const CONFIRMATION_TIMEOUT_MS = 1000

/** Immutable; each event returns the next value. */
export class UpdateProgress {
  private constructor (
    /** Undefined while no rows are held back. */
    readonly backlog: Backlog | undefined,
    private readonly unconfirmed: Unconfirmed | undefined,
    /** The newest version that the follower has said it has, from whatever source. */
    private readonly confirmedVersion: number | undefined
  ) {}

  static readonly none = new UpdateProgress(undefined, undefined, undefined)

  /** Rows are held back; those that follow wait behind them. */
  heldBack (backlog: Backlog): UpdateProgress {
    return this.backlog === undefined ? new UpdateProgress(backlog, this.unconfirmed, this.confirmedVersion) : this
  }

  /** All rows up to the version were sent. */
  sent (version: number, now: Instant): UpdateProgress {
    return new UpdateProgress(undefined, { version, sentAt: now, isRepeated: this.unconfirmed !== undefined }, this.confirmedVersion)
  }

  /** `isAnswer`: an update of this source arrived; otherwise the rows came from another one, and the update may still be under way. */
  confirmed (version: number, isAnswer: boolean): UpdateProgress {
    const isConfirmed = isAnswer && this.unconfirmed !== undefined && version >= this.unconfirmed.version
    return new UpdateProgress(this.backlog, isConfirmed ? undefined : this.unconfirmed, Math.max(this.confirmedVersion ?? 0, version))
  }

  /** The follower has, or was sent, all rows that were held back. */
  caughtUp (): UpdateProgress {
    return new UpdateProgress(undefined, this.unconfirmed, this.confirmedVersion)
  }

  /** The version up to which the follower has all rows, or was sent them. */
  get baseVersion (): number | undefined {
    const sent = this.backlog?.version
    return sent === undefined || this.confirmedVersion === undefined ? sent ?? this.confirmedVersion : Math.max(sent, this.confirmedVersion)
  }

  /** Whether rows are held back and may be sent as far as this follower is concerned. */
  isDue (now: Instant): boolean {
    return this.backlog !== undefined && (this.unconfirmed === undefined || this.isOverdue(now))
  }

  /** Whether an update is taken to be on its way, so that it counts among those that a source sends at a time. */
  isInTurn (now: Instant): boolean {
    return this.unconfirmed !== undefined && !this.unconfirmed.isRepeated && now - this.unconfirmed.sentAt < MAX_TURN_MS
  }

  /** Whether the follower confirms nothing, so it waits for no turn and takes none from others. */
  isOverdue (now: Instant): boolean {
    return this.unconfirmed !== undefined && now - this.unconfirmed.sentAt >= CONFIRMATION_TIMEOUT_MS
  }
}
