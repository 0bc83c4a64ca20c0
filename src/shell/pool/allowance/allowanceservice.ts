/** Connects the allowances of teams on this host with the shared rows about their issuers. */

import { setTimeout as pause } from 'node:timers/promises'
import type { AllowanceBounds } from '../../../core/allowance/bounds.ts'
import type { HostId } from '../../../core/id/host.ts'
import type { Instant } from '../../../core/id/instant.ts'
import type { TeamId } from '../../../core/id/team.ts'
import type { Team } from '../../../core/pool/access/team.ts'
import type { Row } from '../../../core/pool/membership/row.ts'
import type { PoolHost } from '../../../core/pool/placing/host.ts'
import type { Log } from '../../log/log.ts'
import { clock } from '../clock.ts'
import type { RowStore } from '../membership/rowstore.ts'
import type { PoolMetrics } from '../metrics.ts'
import { Allowances } from './allowances.ts'
import { IssuerRegistry } from './issuerregistry.ts'
import { IssuerStarts } from './issuerstarts.ts'
import type { TokenTransport } from './tokentransport.ts'

interface Options {
  readonly self: HostId
  readonly bounds: AllowanceBounds
  readonly port: TokenTransport
  readonly isFirstStart: boolean
  /** Longest staleness of the shared table, in milliseconds, with which this host still issues tokens. */
  readonly trustMs: number
  /** Staleness of the shared table, in milliseconds. */
  readonly ageMs: () => number
  readonly team: (id: TeamId) => Team | undefined
  readonly hosts: () => readonly PoolHost[]
  readonly store: RowStore
  /** The store table that all hosts share. */
  readonly table: string
  readonly log: Log
  readonly metrics: PoolMetrics
  readonly chance: () => number
  readonly signal: AbortSignal
}

/** Store table of the times at which issuers started. */
const STARTS_TABLE = 'agatepond-starts'

export class AllowanceService {
  readonly allowances: Allowances
  private readonly issuers: IssuerRegistry

  private constructor (options: Options) {
    const { store, bounds, metrics, signal } = options
    const starts = IssuerStarts.create({ store, table: STARTS_TABLE, windowMs: bounds.windowMs, metrics, signal })
    this.issuers = IssuerRegistry.create(options)
    this.allowances = Allowances.create({
      ...options,
      // The monotonic clock begins with the process.
      bornAt: 0 as Instant,
      now: clock.now,
      age: clock.age,
      pause,
      onStarted: places => {
        starts.claim(places).then(free => free.forEach(place => this.allowances.credit(place)))
      },
      onAskEnded: (place, isAnswered) => isAnswered ? this.issuers.answered(place) : this.issuers.silent(place)
    })
  }

  static create (options: Options): AllowanceService {
    return new AllowanceService(options)
  }

  /** Takes in a row of the shared table; ignores rows of other kinds. */
  applySharedRow (row: Row): void {
    if (row.key !== IssuerRegistry.key) return
    this.issuers.update(row)
    if (row.value !== undefined) this.allowances.updateIssuers(row.value)
  }

  /** Checks that the issuers answer. */
  tick (): void {
    this.issuers.tick()
  }
}
