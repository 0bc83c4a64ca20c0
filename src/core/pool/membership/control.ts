/**
 * How a host comes to know what the store holds: a few hosts of each data centre ask the store, and all others hear from them.
 *
 * Safety doesn't rest on who tells whom: rows carry the store's versions, and an
 * older one never replaces a newer one. What rests on it is how soon a host knows, and that is
 * bounded: whoever tells others says with each word how late the store is with it, and a host that for too long has heard
 * from nobody whom the store answers asks it itself (see Pace for the sum).
 */

import type { Instant } from '../../id/instant.ts'
import { backoff } from '../../membership/backoff.ts'
import type { ControlAction } from './controlaction.ts'
import type { ControlEvent } from './controlevent.ts'
import type { ControlState } from './controlstate.ts'
import { dueCopy } from './copydue.ts'
import { dueQuestion } from './due.ts'
import { Followers } from './followers.ts'
import type { HostEntry } from './hostentry.ts'
import type { LinkId } from './linkid.ts'
import { linkOf } from './linkof.ts'
import { Links } from './links.ts'
import { Question } from './question.ts'
import { Ranking } from './ranking.ts'
import { Roll } from './roll.ts'
import { dueRow } from './rolldue.ts'
import { rollRow } from './rollrow.ts'
import type { Row } from './row.ts'
import { Table } from './table.ts'
import type { TableName } from './tablename.ts'
import { tableNames } from './tablenames.ts'
import { wanted } from './wanted.ts'
import type { Word } from './word.ts'

type Options = Pick<ControlState, 'self' | 'pace' | 'seeds' | 'isSeed'>
type Event<K extends ControlEvent['kind']> = Extract<ControlEvent, { kind: K }>
type Rows = Extract<Word, { kind: 'rows' }>

interface Step {
  readonly next: Control
  readonly actions: readonly ControlAction[]
}

/** Between a reader's tries while the store fails it: soon enough for a new version to be in force in time. */
const RETRY = { firstMs: 100, mostMs: 1000 }
/** Of a host that isn't a reader, in the reader's silence: all hosts may be in the same case at once. */
const ALONE_RETRIES = 8
/** Rows of the roll lapse by the clock, so the ranking is worked out again so often. */
const RANK_MS = 5000
/** The first row of the roll waits for so long, so that hosts that start together are in it. */
const FIRST_ROW_MS = 500
/** A row isn't written sooner after the one before: hosts that start or end together are told of together, since each writing wakes all who follow the store. */
const ROW_GAP_MS = 3000
/** Between two looks whether the row is to be written. */
const ROW_LOOK_MS = 500
/** After news of the roll it's asked for again so much later: hosts that come or go together are then heard of together. */
const ROLL_REST_MS = 1000
/** A row that wasn't written is tried again after so long. */
const REWRITE_MS = 1000
const NEVER = -Infinity as Instant
/** Tables whose rows are to be known within a bound. */
const BOUNDED = ['config', 'endpoints'] as const

/** Immutable; an event yields the next value and what to do. */
export class Control {
  private constructor (private readonly state: ControlState) {}

  static create (options: Options, now: Instant): Control {
    return new Control({
      ...options,
      startedAt: now,
      tickedAt: now,
      tables: { config: Table.empty, endpoints: Table.empty, shared: Table.empty, roll: Table.empty },
      questions: { config: Question.none, endpoints: Question.none, shared: Question.none, roll: Question.none },
      links: Links.none,
      followers: Followers.none,
      roll: Roll.empty,
      ranking: Ranking.of([options.self], options.self),
      rankedAt: now,
      nearAt: now,
      coveredAt: now,
      beatAt: NEVER,
      spokeAt: now,
      row: { value: '', at: NEVER, notBefore: now + FIRST_ROW_MS as Instant, isOpen: false },
      copy: { notBefore: now, isOpen: false },
      consulted: new Map()
    })
  }

  /** Hosts that are alive, this one among them, in the order of their ids. */
  get hosts (): readonly HostEntry[] {
    return this.state.ranking.hosts
  }

  /** Whether every table is known. */
  get isKnown (): boolean {
    return tableNames.every(name => this.state.tables[name].version !== undefined)
  }

  /** Whether this host has to tell the store that it leaves, since no other hears it. */
  get isWriting (): boolean {
    return this.state.row.isOpen
  }

  /** `chance`: spreads tries; from 0 to 1. */
  step (event: ControlEvent, chance: number, now: Instant): Step {
    const { next, actions } = this.take(event, chance, now)
    // By far the most frequent events, and what follows from them has time until the next tick.
    if ((event.kind === 'told' && event.word.kind === 'beat') || (event.kind === 'spoke' && event.word.kind === 'alive')) return { next, actions }
    const planned = next.plan(now)
    return { next: planned.next, actions: [...actions, ...planned.actions] }
  }

  private take (event: ControlEvent, chance: number, now: Instant): Step {
    const { state } = this
    switch (event.kind) {
      case 'tick': return this.ticked(now)
      case 'answered': return this.answered(event, now)
      case 'forgotten': return this.with({ questions: { ...state.questions, [event.table]: state.questions[event.table].forgotten() } })
      case 'failed': return this.failed(event.table, chance, now)
      case 'written': return this.with({ row: event.isDone ? { ...state.row, isOpen: false } : { ...state.row, value: '', notBefore: now + REWRITE_MS as Instant, isOpen: false } })
      case 'copied': return this.with({ copy: { ...state.copy, isOpen: false } })
      case 'opened': return this.opened(event.link, now)
      case 'lost': return this.with({ links: state.links.has(event.link) ? state.links.lost(event.link, now) : state.links })
      case 'told': return this.told(event, now)
      case 'spoke': return this.spoke(event, now)
      case 'left': return this.with({ followers: state.followers.left(event.link) })
      case 'consult': return this.with({ consulted: new Map([...state.consulted, [event.link, now + state.pace.silentMs as Instant]]) })
      case 'leave': return this.became({ ...state.self, isLeaving: true }, { row: { ...state.row, notBefore: now } })
    }
  }

  /** A process that was suspended finds all others silent, though their words wait for it. */
  private ticked (now: Instant): Step {
    const { tickedAt, pace, links, rankedAt } = this.state
    const gap = now - tickedAt
    const next = this.with({ tickedAt: now, links: gap > pace.silentMs ? links.resumed(gap) : links })
    return now - rankedAt < RANK_MS ? next : next.next.ranked(now)
  }

  private answered ({ table, isWhole, rows, version }: Event<'answered'>, now: Instant): Step {
    const { questions } = this.state
    const wasLate = this.lateMs(now) > this.state.pace.answerMs
    const restMs = table === 'roll' && rows.length > 0 ? ROLL_REST_MS : 0
    const next = this.with({ questions: { ...questions, [table]: questions[table].answered(now, restMs) } }).next
    const taken = next.learnt({ table, isWhole, rows, version }, now)
    return wasLate ? { ...taken, next: taken.next.with({ beatAt: NEVER }).next } : taken
  }

  private failed (table: TableName, chance: number, now: Instant): Step {
    const { questions, pace } = this.state
    const isReader = wanted(this.state, now).isReader
    const retry = isReader ? RETRY : { firstMs: pace.silentMs, mostMs: ALONE_RETRIES * pace.silentMs }
    const waitMs = backoff(questions[table].failures, retry, chance)
    const next = this.with({ questions: { ...questions, [table]: questions[table].failed(now, waitMs) } })
    return next.next.lateMs(now) > pace.answerMs ? next.next.with({ beatAt: NEVER }) : next
  }

  /** Rows that somebody brought: what is new goes to this process, and to those that follow it. */
  private learnt ({ table, isWhole, rows, version }: Omit<Rows, 'kind'>, now: Instant): Step {
    const { tables, followers } = this.state
    const before = tables[table]
    const { next, news } = isWhole ? before.whole(rows, version) : before.changed(rows, version)
    const isFirst = before.version === undefined
    const copy = table === 'config' && news.length > 0 ? { ...this.state.copy, notBefore: now } : this.state.copy
    const changed = this.with({ tables: { ...tables, [table]: next }, copy })
    if (news.length === 0 && !isFirst) return changed
    const word: Rows = { kind: 'rows', table, isWhole: isFirst, rows: news, version: next.version! }
    const actions: ControlAction[] = [{ kind: 'news', table, rows: news, isFirst }, ...followers.links.map(link => ({ kind: 'tell', link, word } as const))]
    if (table !== 'roll') return { next: changed.next, actions }
    const ranked = changed.next.enrolled(news, now)
    return { next: ranked.next, actions: [...actions, ...ranked.actions] }
  }

  private enrolled (rows: readonly Row[], now: Instant): Step {
    const roll = rows.reduce((sum, { key, value, version }) => {
      const writer = rollRow.writerOf(key)
      if (writer === undefined) return sum
      return value === undefined ? sum.without(writer) : sum.with(writer, rollRow.decode(value), version, now)
    }, this.state.roll)
    return this.with({ roll }).next.ranked(now)
  }

  /** Works out again who is alive. A host of which an earlier life was said to leave contradicts. */
  private ranked (now: Instant): Step {
    const { roll, self, ranking } = this.state
    const said = roll.entries(now).get(self.id)
    if (said !== undefined && !self.isLeaving && (said.incarnation > self.incarnation || (said.incarnation === self.incarnation && said.isLeaving))) {
      return this.became({ ...self, incarnation: said.incarnation + 1 }, {})
    }
    const next = Ranking.of([...roll.alive(now).filter(({ id }) => id !== self.id), self], self)
    if (next.equals(ranking)) return this.with({ rankedAt: now })
    return { next: this.with({ ranking: next, rankedAt: now }).next, actions: [{ kind: 'hosts' }] }
  }

  /** Says anew what this host is. */
  private became (self: HostEntry, change: Partial<ControlState>): Step {
    const next = this.with({ ...change, self }).next
    return { next, actions: next.state.links.open.map(link => next.follow(link)) }
  }

  private opened (link: LinkId, now: Instant): Step {
    const { links } = this.state
    return { next: this.with({ links: links.opened(link, now) }).next, actions: [this.follow(link)] }
  }

  private follow (link: LinkId): ControlAction {
    return { kind: 'say', link, word: { kind: 'follow', self: this.state.self, versions: this.versions } }
  }

  private get versions (): Readonly<Partial<Record<TableName, number>>> {
    return Object.fromEntries(tableNames.flatMap(name => {
      const { version } = this.state.tables[name]
      return version === undefined ? [] : [[name, version]]
    }))
  }

  private told ({ link, word }: Event<'told'>, now: Instant): Step {
    const { links } = this.state
    if (!links.has(link)) return this.idle
    switch (word.kind) {
      case 'welcome': return this.with({ links: links.welcomed(link, word.hasTables, now) })
      case 'rows': return this.with({ links: links.heard(link, now) }).next.learnt(word, now)
      case 'beat': return this.beat(link, word, now)
    }
  }

  private beat (link: LinkId, { lateMs, versions }: Extract<Word, { kind: 'beat' }>, now: Instant): Step {
    const { tables, links, pace, ranking } = this.state
    const isBehind = (name: TableName) => tables[name].version !== undefined && tables[name].version < (versions[name] ?? 0)
    const behind = tableNames.filter(isBehind).map(name => [name, tables[name].changed([], versions[name]!).next])
    const heard = links.beat(link, lateMs, tableNames.every(name => versions[name] !== undefined), now)
    const isCovered = this.isKnown && heard.isCurrent(link, pace, now)
    const isNear = isCovered && !ranking.far.some(host => linkOf(host) === link)
    return this.with({
      links: heard,
      tables: behind.length === 0 ? tables : { ...tables, ...Object.fromEntries(behind) },
      coveredAt: isCovered ? now : this.state.coveredAt,
      nearAt: isNear ? now : this.state.nearAt
    })
  }

  private spoke ({ link, word }: Event<'spoke'>, now: Instant): Step {
    const { followers, tables } = this.state
    if (word.kind === 'alive') return this.with({ followers: followers.spoke(link, now) })
    const welcome: ControlAction = { kind: 'tell', link, word: { kind: 'welcome', hasTables: this.isKnown } }
    const rows = tableNames.flatMap((table): ControlAction[] => {
      const { version } = tables[table]
      if (version === undefined) return []
      const had = word.versions[table]
      const changes = had === undefined ? undefined : tables[table].since(had)
      if (changes?.length === 0) return []
      return [{ kind: 'tell', link, word: { kind: 'rows', table, isWhole: changes === undefined, rows: changes ?? tables[table].rows, version } }]
    })
    return { next: this.with({ followers: followers.followed(link, word.self, now) }).next, actions: [welcome, ...rows] }
  }

  /** What the store owes this host, in milliseconds: nothing while its questions are answered in time. */
  private lateMs (now: Instant): number {
    const { questions, pace } = this.state
    return Math.max(...BOUNDED.map(table => questions[table].lateMs(pace.waitMs[table], now)))
  }

  /** Brings links, questions, the row and words in line with what is known; does nothing that was done already. */
  private plan (now: Instant): Step {
    return [
      (it: Control) => it.giveUp(now),
      (it: Control) => it.relink(now),
      (it: Control) => it.ask(now),
      (it: Control) => it.write(now),
      (it: Control) => it.copy(now),
      (it: Control) => it.speak(now)
    ].reduce<Step>((sum, part) => {
      const { next, actions } = part(sum.next)
      return { next, actions: [...sum.actions, ...actions] }
    }, this.idle)
  }

  private giveUp (now: Instant): Step {
    const { links, pace, followers } = this.state
    const failing = links.failing(pace, now)
    const silent = followers.silent(now)
    const next = this.with({
      links: [...failing.keys()].reduce((sum, link) => sum.lost(link, now), links),
      followers: silent.reduce((sum, link) => sum.left(link), followers)
    }).next
    return {
      next,
      actions: [
        ...[...failing].map(([link, why]) => ({ kind: 'close', link, why } as const)),
        ...silent.map(link => ({ kind: 'drop', link } as const))
      ]
    }
  }

  /** A link that isn't wanted any more is kept until one that is brings news, or this host asks the store itself. */
  private relink (now: Instant): Step {
    const { links, pace } = this.state
    const { links: ids, isReader } = wanted(this.state, now)
    const isCovered = isReader || ids.some(id => links.isCurrent(id, pace, now))
    const opened = ids.filter(id => !links.has(id))
    const closed = isCovered ? links.ids.filter(id => !ids.includes(id)) : []
    const begun = opened.reduce((sum, id) => sum.begun(id, now), links)
    return {
      next: this.with({ links: closed.reduce((sum, id) => sum.closed(id), begun) }).next,
      actions: [
        ...opened.map(link => ({ kind: 'open', link } as const)),
        ...closed.map(link => ({ kind: 'close', link, why: 'others' } as const))
      ]
    }
  }

  private ask (now: Instant): Step {
    const { isReader } = wanted(this.state, now)
    const asks = tableNames.flatMap(table => dueQuestion(this.state, table, isReader, now) ?? [])
    const questions = asks.reduce((sum, { table }) => ({ ...sum, [table]: sum[table].asked(now) }), this.state.questions)
    return { next: this.with({ questions }).next, actions: asks }
  }

  private write (now: Instant): Step {
    const { row } = this.state
    if (row.isOpen || now < row.notBefore) return this.idle
    const due = dueRow(this.state, wanted(this.state, now).isReader, now)
    if (due === undefined) return this.with({ row: { ...row, notBefore: now + ROW_LOOK_MS as Instant } })
    return { next: this.with({ row: { value: due.value, at: now, notBefore: now + ROW_GAP_MS as Instant, isOpen: true } }).next, actions: [due] }
  }

  private copy (now: Instant): Step {
    const { copy, pace } = this.state
    if (copy.isOpen || now < copy.notBefore) return this.idle
    const due = dueCopy(this.state, wanted(this.state, now).isReader, now)
    const next = this.with({ copy: { notBefore: now + pace.copyMs as Instant, isOpen: due !== undefined } })
    return { next: next.next, actions: due === undefined ? [] : [due] }
  }

  private speak (now: Instant): Step {
    const { followers, links, pace, beatAt, spokeAt } = this.state
    const isBeat = followers.links.length > 0 && now - beatAt >= pace.beatMs
    const isAlive = now - spokeAt >= Followers.speakMs
    if (!isBeat && !isAlive) return this.idle
    const beat: Word = { kind: 'beat', lateMs: this.lateMs(now), versions: this.versions }
    return {
      next: this.with({ beatAt: isBeat ? now : beatAt, spokeAt: isAlive ? now : spokeAt }).next,
      actions: [
        ...(isBeat ? followers.links.map(link => ({ kind: 'tell', link, word: beat } as const)) : []),
        ...(isAlive ? links.open.map(link => ({ kind: 'say', link, word: { kind: 'alive' } } as const)) : [])
      ]
    }
  }

  private get idle (): Step {
    return { next: this, actions: [] }
  }

  private with (change: Partial<ControlState>): Step {
    return { next: new Control({ ...this.state, ...change }), actions: [] }
  }
}
