/** Who holds a slot's connections, and who may have the next one. */

import { classes } from './classes.ts'
import type { Limits } from './limits.ts'
import type { AdmissionRequest } from './request.ts'

/** How fast the averages follow, per tick. */
const WEIGHT = 1 / 8

/** Counts connections in use by class, and the pinned ones among them. */
export class ConnectionShares {
  private readonly used = classes.map(() => 0)
  private readonly pinned = classes.map(() => 0)
  private readonly meanUsed = classes.map(() => 0)
  private readonly meanPinned = classes.map(() => 0)

  /** Connections that are open or being opened: what estimates may count on. */
  openOrOpening = 1

  private constructor (public limits: Limits) {}

  static create (limits: Limits): ConnectionShares {
    return new ConnectionShares(limits)
  }

  /** Connections in use by the class. */
  usedBy (rank: number): number {
    return this.used[rank]!
  }

  pinnedBy (rank: number): number {
    return this.pinned[rank]!
  }

  take ({ rank, isTransaction }: AdmissionRequest): void {
    this.used[rank]!++
    if (isTransaction) this.pinned[rank]!++
  }

  give ({ rank, isTransaction }: AdmissionRequest): void {
    this.used[rank]!--
    if (isTransaction) this.pinned[rank]!--
  }

  /**
   * Against browsing that holds every connection while a crimp result waits: a
   * statement that runs can't be taken back, so a class starts only what leaves
   * free the part of the higher classes' reserves that they don't use now.
   * Transactions hold a connection between statements too, for as long as a
   * caller likes, so theirs is bounded further.
   */
  canStart (rank: number, isTransaction: boolean): boolean {
    const inUse = sum(this.used)
    let kept = 0
    for (let higher = 0; higher < rank; higher++) kept += Math.max(0, this.limits.reserved[higher]! - this.used[higher]!)
    if (inUse + kept >= this.limits.connections) return false
    return !isTransaction || this.canPin(rank)
  }

  /** Takes the present counts into the averages. */
  tick (): void {
    for (let rank = 0; rank < classes.length; rank++) {
      this.meanUsed[rank]! += (this.used[rank]! - this.meanUsed[rank]!) * WEIGHT
      this.meanPinned[rank]! += (this.pinned[rank]! - this.meanPinned[rank]!) * WEIGHT
    }
  }

  /** Connections that the class's queue can count on: what the higher classes and transactions leave it, never less than `least`. */
  availableTo (rank: number, isTransaction: boolean, least: number): number {
    const { reserved, maxPinned: mostPinned } = this.limits
    let left = this.openOrOpening
    for (let other = 0; other < classes.length; other++) {
      left -= other < rank ? Math.max(reserved[other]!, this.meanUsed[other]!) : this.meanPinned[other]!
    }
    if (isTransaction) left = Math.min(left + this.meanPinned[rank]!, mostPinned[rank]!)
    return Math.max(least, left)
  }

  /** The bound of a class covers the classes below it too: pins of browsing never use up those of the urgent. */
  private canPin (rank: number): boolean {
    let held = 0
    for (let upper = classes.length - 1; upper >= 0; upper--) {
      held += this.pinned[upper]!
      if (upper <= rank && held >= this.limits.maxPinned[upper]!) return false
    }
    return true
  }
}

function sum (counts: readonly number[]): number {
  let total = 0
  for (const count of counts) total += count
  return total
}
