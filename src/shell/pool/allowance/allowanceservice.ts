/** The allowances of teams on one host, and who issues their tokens. */

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
  /** Nothing is issued on older knowledge of who issues; milliseconds. */
  readonly trustMs: number
  /** How old the knowledge of the shared table may be, in milliseconds. */
  readonly ageMs: () => number
  readonly team: (id: TeamId) => Team | undefined
  readonly hosts: () => readonly PoolHost[]
  readonly store: RowStore
  /** Where the row lies that says who issues. */
  readonly table: string
  readonly log: Log
  readonly metrics: PoolMetrics
  readonly chance: () => number
  readonly signal: AbortSignal
}

/** When hosts began to issue tokens. */
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

  /** A row of the shared table. */
  applySharedRow (row: Row): void {
    if (row.key !== IssuerRegistry.key) return
    this.issuers.update(row)
    if (row.value !== undefined) this.allowances.updateIssuers(row.value)
  }

  /** Looks whether the hosts that issue are there. */
  tick (): void {
    this.issuers.tick()
  }
}
