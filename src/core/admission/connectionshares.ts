/** Tracks which classes use a slot's connections and decides which class may use the next one. */

import { classes } from './classes.ts'
import type { Limits } from './limits.ts'
import type { AdmissionRequest } from './request.ts'

/** Weight of the present counts in the moving averages, per tick. */
const WEIGHT = 1 / 8

/** Counts the connections in use by class, and how many of them are pinned by transactions. */
export class ConnectionShares {
  private readonly used = classes.map(() => 0)
  private readonly pinned = classes.map(() => 0)
  private readonly meanUsed = classes.map(() => 0)
  private readonly meanPinned = classes.map(() => 0)

  /** Connections that are open or being opened; wait estimates are based on them. */
  openOrOpening = 1

  private constructor (public limits: Limits) {}

  static create (limits: Limits): ConnectionShares {
    return new ConnectionShares(limits)
  }

  /** Connections that requests of the class use now. */
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
   * Whether the class may start a request now. A running statement can't be preempted, so a class leaves free whatever part of the
   * higher classes' reserves is unused. Transactions also hold a connection between statements, for as long as the caller
   * likes, so a further limit applies to them.
   */
  canStart (rank: number, isTransaction: boolean): boolean {
    const inUse = sum(this.used)
    let kept = 0
    for (let higher = 0; higher < rank; higher++) kept += Math.max(0, this.limits.reserved[higher]! - this.used[higher]!)
    if (inUse + kept >= this.limits.connections) return false
    return !isTransaction || this.canPin(rank)
  }

  /** Updates the moving averages with the present counts. */
  tick (): void {
    for (let rank = 0; rank < classes.length; rank++) {
      this.meanUsed[rank]! += (this.used[rank]! - this.meanUsed[rank]!) * WEIGHT
      this.meanPinned[rank]! += (this.pinned[rank]! - this.meanPinned[rank]!) * WEIGHT
    }
  }

  /** Connections on which the class's queue can rely: what higher classes and transactions leave it, at least `least`. */
  availableTo (rank: number, isTransaction: boolean, least: number): number {
    const { reserved, maxPinned } = this.limits
    let left = this.openOrOpening
    for (let other = 0; other < classes.length; other++) {
      left -= other < rank ? Math.max(reserved[other]!, this.meanUsed[other]!) : this.meanPinned[other]!
    }
    if (isTransaction) left = Math.min(left + this.meanPinned[rank]!, maxPinned[rank]!)
    return Math.max(least, left)
  }

  /** The limit of a class includes the pins of the classes below it, so that browsing never uses up the pins of urgent requests. */
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
