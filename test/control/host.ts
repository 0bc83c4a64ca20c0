/** One host in virtual time: the product's control, and what carries out its actions. */

import { TableSync } from '../../src/core/pool/membership/tablesync.ts'
import type { SyncAction } from '../../src/core/pool/membership/syncaction.ts'
import type { SyncEvent } from '../../src/core/pool/membership/syncevent.ts'
import type { HostEntry } from '../../src/core/pool/membership/hostentry.ts'
import type { LinkId } from '../../src/core/pool/membership/linkid.ts'
import { registryRow } from '../../src/core/pool/membership/registryrow.ts'
import type { SyncTimings } from '../../src/core/pool/membership/synctimings.ts'
import type { Instant } from '../../src/core/id/instant.ts'
import type { HostId } from '../../src/core/id/host.ts'
import type { ControlWorld } from './world.ts'

const TICK_MS = 100

interface Options {
  readonly self: HostEntry
  readonly seeds: readonly LinkId[]
  readonly isSeed: boolean
  readonly isFirstStart: boolean
  readonly pace: SyncTimings
}

export class ModelHost {
  control: TableSync
  isUp = true
  isFrozen = false
  /** Its questions to the store get no answer. */
  isCutFromStore = false
  /** The newest configuration that it knows, and whether it ever went back. */
  config = 0
  wentBack = false
  /** Whether it ever took its configuration for younger than it was. */
  wasWrong = false
  /** The highest age of its configuration by its own word, since it was last set to 0. */
  oldestMs = 0
  /** When it became able to serve. */
  knownAt: number | undefined
  private waiting: SyncEvent[] = []
  private frozenAt = 0
  private hiddenMs = 0
  private leaps = 0

  constructor (private readonly world: ControlWorld, readonly options: Options) {
    this.control = TableSync.create(options, world.now as Instant)
    this.tick()
  }

  get id (): HostId {
    return this.options.self.id
  }

  step (event: SyncEvent): void {
    if (!this.isUp) return
    if (this.isFrozen) {
      this.waiting.push(event)
      return
    }
    const { next, actions } = this.control.step(event, this.world.chance(), this.now, this.age)
    this.control = next
    if (next.hasAllTables) this.knownAt ??= this.world.now
    for (const action of actions) this.act(action)
    this.judgeAge()
  }

  /** The monotonic clock stands still while the host is frozen; the one that counts suspension leaps by a day then. */
  private get now (): Instant {
    return this.world.now - this.hiddenMs as Instant
  }

  private get age (): Instant {
    return this.now + this.leaps * LEAP_MS as Instant
  }

  freeze (): void {
    this.isFrozen = true
    this.frozenAt = this.world.now
  }

  thaw (): void {
    this.isFrozen = false
    this.hiddenMs += this.world.now - this.frozenAt
    this.leaps++
    for (const event of this.waiting.splice(0)) this.step(event)
  }

  private tick (): void {
    if (!this.isUp) return
    if (!this.isFrozen) this.step({ kind: 'tick' })
    this.world.agenda.add(TICK_MS, () => this.tick())
  }

  private act (action: SyncAction): void {
    const { world } = this
    switch (action.kind) {
      case 'news': {
        if (action.table !== 'config') return
        for (const { value } of action.rows) this.took(Number(value))
        return
      }
      case 'ask': return this.ask(action)
      case 'write': {
        if (this.isCutFromStore) return world.agenda.add(CUT_MS, () => this.step({ kind: 'written', isDone: false }))
        return world.store.write(registryRow.keyOf(this.id), action.value, action.deletedKeys, isDone => this.step({ kind: 'written', isDone }))
      }
      case 'copy': return world.agenda.add(CUT_MS, () => this.step({ kind: 'copied', isDone: true }))
      case 'open': return world.open(this, action.link)
      case 'close': return world.close(this, action.link)
      case 'say': return world.say(this, action.link, action.message)
      case 'tell': return world.tell(this, action.link, action.message)
      case 'drop': return world.drop(this, action.link)
    }
  }

  private ask ({ table, after, waitMs }: Extract<SyncAction, { kind: 'ask' }>): void {
    const { world } = this
    let isOver = false
    const end = (event: SyncEvent) => {
      if (isOver) return
      isOver = true
      this.step(event)
    }
    // An answer that never comes: cut off before the question, or while it's held open.
    world.agenda.add(waitMs + CUT_MS, () => end({ kind: 'failed', table }))
    const wasCut = this.isCutFromStore
    const askedAt = this.age
    world.store.ask(table, after, waitMs, answer => {
      if (wasCut || this.isCutFromStore) return
      end(answer.kind === 'rows' ? { kind: 'answered', table, isWhole: after === undefined, rows: answer.rows, version: answer.version, sentAt: askedAt, storeMs: answer.storeMs } : { kind: answer.kind, table })
    })
  }

  /** What it lacks was written so long ago at least, so its configuration is as old. */
  private judgeAge (): void {
    const ageMs = this.control.ageMs('config', this.age)
    this.oldestMs = Math.max(this.oldestMs, ageMs)
    if (ageMs < this.world.missingMs(this.config)) this.wasWrong = true
  }

  private took (version: number): void {
    this.wentBack ||= version < this.config
    this.config = version
  }
}

/** The clock that counts suspension leaps by so much. */
const LEAP_MS = 86_400_000
/** The limit of a call. */
const CUT_MS = 750
