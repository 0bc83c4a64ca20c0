/** Guards against updates of a large table that fill a source's link, so that its callers' answers are late behind them. */

import { describe, expect, it } from 'vitest'
import type { DataCentreId } from '../../id/datacentre.ts'
import type { HostId } from '../../id/host.ts'
import type { Instant } from '../../id/instant.ts'
import { linkOf } from './linkof.ts'
import { registryRow } from './registryrow.ts'
import type { Row } from './row.ts'
import type { RowsMessage } from './rowsmessage.ts'
import type { SyncAction } from './syncaction.ts'
import type { SyncEvent } from './syncevent.ts'
import type { SyncMessage } from './syncmessage.ts'
import { SyncTimings } from './synctimings.ts'
import type { TableName } from './tablename.ts'
import { TableSync } from './tablesync.ts'

const FOLLOWERS = 32
const VERSIONS = 20
const VERSION_INTERVAL_MS = 150
const TICK_MS = 100
const STEP_MS = 5
const STORE_CLOCK_MS = 1_000_000
const PACE = SyncTimings.of({ applyMs: 6000, drainMs: 10_000, historyMs: 20_000 })
const LARGE = 'x'.repeat(70_000)

function entryOf (n: number) {
  return { id: `h${n}` as HostId, dataCentre: 'z0' as DataCentreId, address: { ip: `10.0.0.${n}`, port: 1 }, linkPort: 2, incarnation: 1, isLeaving: false }
}

function configOf (version: number, value = LARGE): readonly Row[] {
  return [{ key: 'config', value, version }]
}

interface Habit {
  /** After how long it confirms; undefined if it never does. */
  readonly confirmsAfterMs?: number
  /** Of an earlier program version. */
  readonly isOld?: boolean
}

/** What a source sent to one follower. */
class Follower {
  readonly received: Array<{ readonly version: number, readonly at: number }> = []
  /** Confirmations on their way, and when they arrive. */
  readonly confirmations: Array<{ readonly version: number, readonly at: number }> = []
  /** Large updates that it hasn't confirmed, at most. */
  peak = 0
  asOf = 0
  /** Messages with rows of other tables. */
  others = 0

  /** `known`: the newest version that it has from elsewhere. */
  constructor (readonly link: number, readonly habit: Habit, public known: number) {}

  get newest (): number {
    return Math.max(this.known, this.received.at(-1)?.version ?? 0)
  }
}

/** A source in virtual time, with its followers. */
class Source {
  now = 0
  version = 0
  readonly followers: Follower[]
  /** Updates that weren't confirmed, at most, over all followers. */
  peak = 0
  /** Heartbeats that claimed what their follower wasn't sent. */
  readonly wrongBeats: SyncMessage[] = []
  private readonly answeredAt = new Map<number, number>()
  private control = TableSync.create({ self: entryOf(0), pace: PACE, seeds: [], isSeed: true, isFirstStart: false }, 0 as Instant)

  constructor (habits: readonly Habit[]) {
    for (const table of ['roll', 'endpoints', 'shared'] as const) this.answer(table, [])
    this.change()
    this.followers = habits.map((habit, i) => new Follower(i + 1, habit, this.version))
    for (const { link, habit } of this.followers) {
      const versions = { config: this.version, endpoints: 1, shared: 1, roll: 1 }
      this.step({ kind: 'spoke', link, message: { kind: 'follow', self: entryOf(link), versions, ...(habit.isOld === true ? {} : { isConfirming: true }) } })
    }
    this.run(STEP_MS)
  }

  /** The store answers with a new configuration. */
  change (value = LARGE): void {
    this.version++
    this.answeredAt.set(this.version, STORE_CLOCK_MS + this.now)
    this.answer('config', configOf(this.version, value))
  }

  changeOther (table: TableName): void {
    this.answer(table, [{ key: 'k', value: LARGE, version: ++this.version }])
  }

  storm (versions = VERSIONS): void {
    for (let i = 0; i < versions; i++) {
      this.change()
      this.run(VERSION_INTERVAL_MS)
    }
  }

  run (ms: number): void {
    for (const end = this.now + ms; this.now < end;) {
      this.now += STEP_MS
      for (const follower of this.followers) {
        for (const { version } of follower.confirmations.splice(0, follower.confirmations.filter(({ at }) => at <= this.now).length)) this.confirm(follower.link, version)
      }
      if (this.now % TICK_MS === 0) this.step({ kind: 'tick' })
    }
  }

  /** The follower has the version from another source. */
  tellElsewhere (follower: Follower): void {
    follower.known = this.version
    this.confirm(follower.link, this.version, false)
  }

  private confirm (link: number, version: number, isAnswer = true): void {
    this.step({ kind: 'spoke', link, message: { kind: 'confirm', table: 'config', version, isAnswer } })
  }

  private answer (table: TableName, rows: readonly Row[]): void {
    this.step({ kind: 'answered', table, isWhole: true, rows, version: Math.max(1, this.version), sentAt: this.now as Instant, storeMs: STORE_CLOCK_MS + this.now })
  }

  private step (event: SyncEvent): void {
    const { next, actions } = this.control.step(event, 0.5, this.now as Instant)
    this.control = next
    for (const action of actions) {
      if (action.kind === 'tell') this.deliver(this.followers[action.link - 1]!, action.message)
    }
  }

  private deliver (follower: Follower, message: SyncMessage): void {
    const { received, confirmations, habit: { confirmsAfterMs = Infinity } } = follower
    if (message.kind === 'beat') {
      const known = message.versions.config ?? 0
      const isEarly = (version: number) => version <= known || this.answeredAt.get(version)! <= (message.asOf.config ?? 0)
      if ([...this.answeredAt.keys()].some(version => version > follower.newest && isEarly(version))) this.wrongBeats.push(message)
      follower.asOf = message.asOf.config ?? follower.asOf
    }
    if (message.kind !== 'rows') return
    if (message.table !== 'config') {
      follower.others++
      return
    }
    received.push({ version: message.version, at: this.now })
    confirmations.push({ version: message.version, at: this.now + confirmsAfterMs })
    follower.peak = Math.max(follower.peak, confirmations.length)
    this.peak = Math.max(this.peak, this.followers.reduce((sum, one) => sum + one.confirmations.length, 0))
  }
}

function all (habit: Habit): readonly Habit[] {
  return Array.from({ length: FOLLOWERS }, () => habit)
}

describe('a storm of versions', () => {
  it.each<[string, Habit, { readonly each: number, readonly sum: number, readonly delayMs: number }]>([
    ['one each, four in all, to those that confirm at once', { confirmsAfterMs: 5 }, { each: 1, sum: 4, delayMs: 100 }],
    ['one each, four in a tick, to those that confirm after 200 ms', { confirmsAfterMs: 200 }, { each: 1, sum: 16, delayMs: 800 }],
    ['one each to those that confirm after 900 ms', { confirmsAfterMs: 900 }, { each: 1, sum: FOLLOWERS, delayMs: 2000 }]
  ])('has under way at most: %s; and all end with the newest one', (_, habit, most) => {
    const source = new Source(all(habit))
    source.storm()
    expect(source.peak).toBeLessThanOrEqual(most.sum)
    expect(Math.max(...source.followers.map(({ peak }) => peak))).toBe(most.each)
    source.run(most.delayMs)
    expect(source.followers.map(({ newest }) => newest)).toEqual(source.followers.map(() => source.version))
    expect(source.wrongBeats).toEqual([])
  })

  it('gets to each follower in turn', () => {
    const source = new Source(all({ confirmsAfterMs: 50 }))
    source.storm(60)
    const counts = source.followers.map(({ received }) => received.length)
    expect(Math.min(...counts)).toBeGreaterThan(Math.max(...counts) / 2)
  })

  it('is sent whole and at once to followers of an earlier program version', () => {
    const source = new Source(all({ isOld: true }))
    const began = source.now
    source.storm()
    for (const { received } of source.followers) expect(received.map(({ at }) => at - began)).toEqual(Array.from({ length: VERSIONS }, (_, i) => i * VERSION_INTERVAL_MS))
    expect(source.wrongBeats).toEqual([])
  })

  it('while nobody confirms what it said it would: one update a second each, and the newest one in the end', () => {
    const source = new Source(all({}))
    source.storm()
    source.run(2000)
    for (const { received } of source.followers) {
      expect(received.slice(1).every(({ at }, i) => at - received[i]!.at >= 1000)).toBe(true)
      expect(received.at(-1)!.version).toBe(source.version)
    }
    expect(source.wrongBeats).toEqual([])
  })

  it('is late by a turn behind each four frozen followers once, and then by nothing', () => {
    const source = new Source([...Array.from({ length: FOLLOWERS / 2 }, () => ({})), ...Array.from({ length: FOLLOWERS / 2 }, () => ({ confirmsAfterMs: 5 }))])
    const sound = source.followers.slice(FOLLOWERS / 2)
    source.change()
    source.run(500)
    expect(sound.every(({ newest }) => newest === source.version)).toBe(true)
    source.storm()
    source.run(2000)
    source.change()
    source.run(50)
    expect(sound.every(({ newest }) => newest === source.version)).toBe(true)
  })

  it('leaves the configuration young enough to serve keys by', () => {
    const source = new Source(all({ confirmsAfterMs: 200 }))
    source.storm(100)
    const oldest = Math.min(...source.followers.map(({ asOf }) => asOf))
    expect(STORE_CLOCK_MS + source.now - oldest).toBeLessThan(PACE.normalConfigAgeMs)
  })
})

describe('a single change', () => {
  it('that is small reaches all at once', () => {
    const source = new Source(all({ confirmsAfterMs: 200 }))
    source.change('small')
    expect(source.followers.every(({ newest }) => newest === source.version)).toBe(true)
  })

  it('of another table reaches all at once, however large it is', () => {
    const source = new Source(all({ confirmsAfterMs: 200 }))
    source.changeOther('shared')
    expect(source.followers.every(({ others }) => others === 1)).toBe(true)
  })

  it('that is small waits behind a large one that is held back', () => {
    const source = new Source(all({ confirmsAfterMs: 20 }))
    source.change()
    source.change('small')
    const waiting = source.followers.filter(({ received }) => received.length === 0)
    expect(waiting.length).toBe(FOLLOWERS - 4)
    source.run(200)
    expect(source.followers.every(({ newest }) => newest === source.version)).toBe(true)
  })

  it('isn\'t sent to a follower that has it from another source', () => {
    const source = new Source(all({ confirmsAfterMs: 20 }))
    source.change()
    for (const follower of source.followers.filter(({ received }) => received.length === 0)) source.tellElsewhere(follower)
    source.run(1000)
    expect(source.followers.filter(({ received }) => received.length === 0).length).toBe(FOLLOWERS - 4)
    expect(source.wrongBeats).toEqual([])
  })
})

it('an update under way keeps its place until it has arrived, also when its follower has the version from another source', () => {
  const source = new Source(all({ confirmsAfterMs: 20 }))
  source.change()
  const sent = source.followers.filter(({ received }) => received.length > 0)
  for (const follower of sent) source.tellElsewhere(follower)
  expect(source.followers.filter(({ received }) => received.length > 0)).toEqual(sent)
  source.run(20)
  expect(source.followers.filter(({ received }) => received.length > 0).length).toBe(2 * sent.length)
})

describe('a follower', () => {
  /** Of the three, the last two are the readers. */
  const [own, first, second] = [entryOf(2), entryOf(3), entryOf(4)]

  /** Links to which it confirms what the messages bring, each from one of two sources. */
  function confirmationsOf (...messages: Array<readonly [typeof first, Partial<RowsMessage>]>): readonly string[] {
    let control = TableSync.create({ self: own, pace: PACE, seeds: [linkOf(first), linkOf(second)], isSeed: false, isFirstStart: true }, 0 as Instant)
    const step = (event: SyncEvent): readonly SyncAction[] => {
      const { next, actions } = control.step(event, 0.5, 1 as Instant)
      control = next
      return actions
    }
    step({ kind: 'tick' })
    step({ kind: 'answered', table: 'roll', isWhole: true, rows: [{ key: registryRow.keyOf(first.id), value: registryRow.encode([first, second]), version: 1 }], version: 1, sentAt: 0 as Instant, storeMs: 1 })
    for (const source of [first, second]) step({ kind: 'opened', link: linkOf(source) })
    return messages.map(([source, message]) => {
      const actions = step({ kind: 'told', link: linkOf(source), message: { kind: 'rows', table: 'config', isWhole: true, rows: configOf(message.version!), version: message.version!, ...message } })
      return actions.flatMap(action => action.kind === 'say' && action.message.kind === 'confirm' ? [`${action.message.version} to ${action.link}${action.message.isAnswer ? '' : ' unasked'}`] : []).join(', ')
    })
  }

  it.each<[string, Parameters<typeof confirmationsOf>, readonly string[]]>([
    ['confirms nothing to sources of an earlier program version', [[first, { version: 5 }], [second, { version: 6 }]], ['', '']],
    ['confirms what a source asks for', [[first, { version: 5, isToConfirm: true }]], ['5 to 10.0.0.3:2']],
    ['confirms it again from each source', [[first, { version: 5, isToConfirm: true }], [second, { version: 5, isToConfirm: true }]], ['5 to 10.0.0.3:2', '5 to 10.0.0.4:2']],
    ['confirms a newer version than the one that came late', [[second, { version: 6 }], [first, { version: 5, isToConfirm: true }]], ['', '6 to 10.0.0.3:2']],
    ['tells the other source what it needn\'t send any more', [[first, { version: 5, isToConfirm: true }], [second, { version: 6, isToConfirm: true }]], ['5 to 10.0.0.3:2', '6 to 10.0.0.4:2, 6 to 10.0.0.3:2 unasked']]
  ])('%s', (_, messages, expected) => expect(confirmationsOf(...messages)).toEqual(expected))
})
