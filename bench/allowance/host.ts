/** One host of the allowance model: what it knows of the shared row, and the product's allowances on it. */

import type { AllowanceBounds } from '../../src/core/allowance/bounds.ts'
import type { HostId } from '../../src/core/id/host.ts'
import type { Instant } from '../../src/core/id/instant.ts'
import type { TeamId } from '../../src/core/id/team.ts'
import type { Team } from '../../src/core/pool/access/team.ts'
import type { PoolHost } from '../../src/core/pool/placing/host.ts'
import { Allowances } from '../../src/shell/pool/allowance/allowances.ts'
import { PoolMetrics } from '../../src/shell/pool/metrics.ts'
import type { TokenTransport } from '../../src/shell/pool/allowance/tokentransport.ts'

interface Surroundings {
  readonly now: () => number
  readonly chance: () => number
  readonly pause: (ms: number) => Promise<void>
  /** A process starts anew at the place. */
  readonly onBegun: (host: ModelHost, place: number) => void
  readonly bounds: AllowanceBounds
  readonly trustMs: number
  readonly team: (id: TeamId) => Team | undefined
  readonly hosts: () => readonly PoolHost[]
  readonly ask: (from: ModelHost, ...asked: Parameters<TokenTransport['ask']>) => ReturnType<TokenTransport['ask']>
  /** Planted breaches: takes its knowledge of the row for new, whatever its age; takes each start for the first of all. */
  readonly isCareless: boolean
  readonly isForgetful: boolean
}

/** The clock that counts suspension leaps by a day at each. */
const LEAP_MS = 86_400_000

export class ModelHost {
  isUp = true
  isFrozen = false
  isCutFromStore = false
  /** Nothing passes between it and other hosts. */
  isAlone = false
  answerer: Parameters<TokenTransport['onRequest']>[0] = () => undefined
  allowances: Allowances
  private syncedAt = -Infinity
  private row = ''
  private leaps = 0
  private frozenAt = 0
  private hiddenMs = 0

  constructor (readonly entry: PoolHost, private readonly around: Surroundings, isFirstStart: boolean) {
    this.allowances = this.start(isFirstStart)
  }

  get id (): HostId {
    return this.entry.id
  }

  /** The time on its monotonic clock, which stands still while it's frozen. */
  get now (): Instant {
    return this.around.now() - this.hiddenMs as Instant
  }

  /** The time on its clock that counts suspension. */
  get age (): Instant {
    return this.now + this.leaps * LEAP_MS as Instant
  }

  get isRunning (): boolean {
    return this.isUp && !this.isFrozen
  }

  /** It hears from the store: the row as it is now. */
  synced (row: string): void {
    this.syncedAt = this.age
    if (row === this.row) return
    this.row = row
    this.allowances.updateIssuers(row)
  }

  freeze (): void {
    this.isFrozen = true
    this.frozenAt = this.around.now()
  }

  thaw (): void {
    this.isFrozen = false
    this.hiddenMs += this.around.now() - this.frozenAt
    this.leaps++
  }

  /** A process with nothing of what the one before knew. */
  restart (): void {
    this.isUp = true
    this.isFrozen = false
    this.syncedAt = -Infinity
    this.row = ''
    this.allowances = this.start(this.around.isForgetful)
  }

  private start (isFirstStart: boolean): Allowances {
    const { bounds, trustMs, team, hosts, ask, chance, pause, onBegun, isCareless } = this.around
    return Allowances.create({
      self: this.id,
      bounds,
      trustMs,
      isFirstStart,
      bornAt: this.now,
      ageMs: () => isCareless ? 0 : this.age - this.syncedAt,
      team,
      hosts,
      port: {
        onRequest: answerer => { this.answerer = answerer },
        ask: async (...asked) => await ask(this, ...asked)
      },
      metrics: PoolMetrics.create(),
      chance,
      now: () => this.now,
      age: () => this.age,
      pause,
      onStarted: places => { for (const place of places) onBegun(this, place) },
      onAskEnded: () => undefined
    })
  }
}
