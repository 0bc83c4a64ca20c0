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
import type { RowStore } from '../membership/rows.ts'
import type { PoolMetrics } from '../metrics.ts'
import { Allowances } from './allowances.ts'
import { Appointments } from './appointments.ts'
import { Starts } from './starts.ts'
import type { TokenWay } from './tokenway.ts'

interface Options {
  readonly self: HostId
  readonly bounds: AllowanceBounds
  readonly port: TokenWay
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

export class Issuing {
  readonly allowances: Allowances
  private readonly appointments: Appointments

  private constructor (options: Options) {
    const { store, bounds, metrics, signal } = options
    const starts = Starts.create({ store, table: STARTS_TABLE, windowMs: bounds.windowMs, metrics, signal })
    this.appointments = Appointments.create(options)
    this.allowances = Allowances.create({
      ...options,
      // The monotonic clock begins with the process.
      bornAt: 0 as Instant,
      now: clock.now,
      age: clock.age,
      pause,
      onBegun: places => {
        starts.claim(places).then(free => free.forEach(place => this.allowances.credit(place)))
      },
      onAsked: (place, isAnswered) => isAnswered ? this.appointments.answered(place) : this.appointments.silent(place)
    })
  }

  static create (options: Options): Issuing {
    return new Issuing(options)
  }

  /** A row of the shared table. */
  told (row: Row): void {
    if (row.key !== Appointments.key) return
    this.appointments.learnt(row)
    if (row.value !== undefined) this.allowances.learnt(row.value)
  }

  /** Looks whether the hosts that issue are there. */
  look (): void {
    this.appointments.look()
  }
}
