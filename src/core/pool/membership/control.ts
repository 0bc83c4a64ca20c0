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
import type { ControlStep } from './controlstep.ts'
import { isEnough } from './enough.ts'
import { Followers } from './followers.ts'
import type { HostEntry } from './hostentry.ts'
import { introduction } from './introduction.ts'
import { latenessOf } from './lateness.ts'
import { learnt } from './learnt.ts'
import type { LinkId } from './linkid.ts'
import { linkOf } from './linkof.ts'
import { Links } from './links.ts'
import { plan } from './plan.ts'
import { Question } from './question.ts'
import { ranked } from './ranked.ts'
import { Ranking } from './ranking.ts'
import { Roll } from './roll.ts'
import { Soundness } from './soundness.ts'
import { Table } from './table.ts'
import type { TableName } from './tablename.ts'
import { tableNames } from './tablenames.ts'
import { wanted } from './wanted.ts'
import type { Word } from './word.ts'

type Options = Pick<ControlState, 'self' | 'pace' | 'seeds' | 'isSeed' | 'isFirstStart'>
type Event<K extends ControlEvent['kind']> = Extract<ControlEvent, { kind: K }>

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
/** A row that wasn't written is tried again after so long. */
const REWRITE_MS = 1000
/** After news of the roll it's asked for again so much later: hosts that come or go together are then heard of together. */
const ROLL_REST_MS = 1000
const NEVER = -Infinity as Instant

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
      soundness: Soundness.none,
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
    return isKnown(this.state)
  }

  /** Whether what is known is enough to serve. */
  isEnough (now: Instant): boolean {
    return isEnough(this.state, now)
  }

  /** Whether this host is telling the store who is there. */
  get isWriting (): boolean {
    return this.state.row.isOpen
  }

  /** Milliseconds for which the table may have been another one in the store. `age`: of the clock that counts suspension. */
  ageMs (table: TableName, age: Instant): number {
    return this.state.soundness.ageMs(table, age)
  }

  /** `chance`: spreads tries; from 0 to 1. `age`: the time on the clock that counts suspension. */
  step (event: ControlEvent, chance: number, now: Instant, age: Instant = now): Step {
    const taken = take(this.state, event, chance, now, age)
    // By far the most frequent events, and what follows from them has time until the next tick.
    const isFrequent = (event.kind === 'told' && event.word.kind === 'beat') || (event.kind === 'spoke' && event.word.kind === 'alive')
    if (isFrequent) return { next: new Control(taken.state), actions: taken.actions }
    const planned = plan(taken.state, now, age)
    return { next: new Control(planned.state), actions: [...taken.actions, ...planned.actions] }
  }
}

function take (state: ControlState, event: ControlEvent, chance: number, now: Instant, age: Instant): ControlStep {
  switch (event.kind) {
    case 'tick': return ticked(state, now)
    case 'answered': return answered(state, event, now)
    case 'forgotten': return only({ ...state, questions: { ...state.questions, [event.table]: state.questions[event.table].forgotten() } })
    case 'failed': return failed(state, event.table, chance, now)
    case 'written': return only({ ...state, row: event.isDone ? { ...state.row, isOpen: false } : { ...state.row, value: '', notBefore: now + REWRITE_MS as Instant, isOpen: false } })
    case 'copied': return only({ ...state, copy: { ...state.copy, isOpen: false } })
    case 'opened': return opened(state, event.link, now, age)
    case 'lost': return only({ ...state, links: state.links.has(event.link) ? state.links.lost(event.link, now) : state.links })
    case 'told': return told(state, event, now)
    case 'spoke': return spoke(state, event, now, age)
    case 'left': return only({ ...state, followers: state.followers.left(event.link) })
    case 'consult': return only({ ...state, consulted: new Map([...state.consulted, [event.link, now + state.pace.silentMs as Instant]]) })
    case 'leave': return left(state, now)
  }
}

/** A process that was suspended finds all others silent, though their words wait for it. */
function ticked (state: ControlState, now: Instant): ControlStep {
  const { tickedAt, pace, links, rankedAt } = state
  const gap = now - tickedAt
  const next = { ...state, tickedAt: now, links: gap > pace.silentMs ? links.resumed(gap) : links }
  return now - rankedAt < RANK_MS ? only(next) : ranked(next, now)
}

function answered (state: ControlState, { table, isWhole, rows, version, askedAt, storeMs }: Event<'answered'>, now: Instant): ControlStep {
  const { questions, pace, beatAt } = state
  const soundness = state.soundness.sampled(askedAt, storeMs).known({ [table]: storeMs })
  const restMs = table === 'roll' && rows.length > 0 ? ROLL_REST_MS : 0
  const next = { ...state, soundness, questions: { ...questions, [table]: questions[table].answered(now, restMs) } }
  // Those who wait to hear that the store answers again are told at once.
  const wasLate = latenessOf(state, now).ownLateMs > pace.answerMs
  return learnt({ ...next, beatAt: wasLate ? NEVER : beatAt }, { table, isWhole, rows, version }, now)
}

function failed (state: ControlState, table: TableName, chance: number, now: Instant): ControlStep {
  const { questions, pace, beatAt } = state
  const retry = wanted(state, now).isReader ? RETRY : { firstMs: pace.silentMs, mostMs: ALONE_RETRIES * pace.silentMs }
  const waitMs = backoff(questions[table].failures, retry, chance)
  const next = { ...state, questions: { ...questions, [table]: questions[table].failed(now, waitMs) } }
  // Those that follow turn to others as soon as they know that the store keeps this one waiting.
  return only({ ...next, beatAt: latenessOf(next, now).lateMs > pace.answerMs ? NEVER : beatAt })
}

function opened (state: ControlState, link: LinkId, now: Instant, age: Instant): ControlStep {
  const next = { ...state, links: state.links.opened(link, now).said(link, age) }
  return { state: next, actions: [introduction(next, link)] }
}

function left (state: ControlState, now: Instant): ControlStep {
  const next = { ...state, self: { ...state.self, isLeaving: true }, row: { ...state.row, notBefore: now } }
  return { state: next, actions: next.links.open.map(link => introduction(next, link)) }
}

function told (state: ControlState, { link, word }: Event<'told'>, now: Instant): ControlStep {
  const { links } = state
  if (!links.has(link)) return only(state)
  switch (word.kind) {
    case 'welcome': return welcomed(state, link, word, now)
    case 'rows': return learnt({ ...state, links: links.heard(link, now) }, word, now)
    case 'beat': return beat(state, link, word, now)
  }
}

function welcomed (state: ControlState, link: LinkId, { hasTables, storeMs }: Extract<Word, { kind: 'welcome' }>, now: Instant): ControlStep {
  const { links, soundness } = state
  const saidAt = links.saidAt(link)
  const sampled = saidAt === undefined || storeMs === undefined ? soundness : soundness.sampled(saidAt, storeMs)
  return only({ ...state, soundness: sampled, links: links.welcomed(link, hasTables, now) })
}

/** All rows up to the versions were told before it over the same link, so this host is as new as that. */
function beat (state: ControlState, link: LinkId, { lateMs, ownLateMs, versions, asOf }: Extract<Word, { kind: 'beat' }>, now: Instant): ControlStep {
  const { tables, links, pace, ranking, coveredAt, nearAt } = state
  const isBehind = (name: TableName) => tables[name].version !== undefined && tables[name].version < (versions[name] ?? 0)
  const behind = tableNames.filter(isBehind).map(name => [name, tables[name].changed([], versions[name]!).next])
  const heard = links.beat(link, { lateMs, ownLateMs }, tableNames.every(name => versions[name] !== undefined), now)
  const isCovered = isKnown(state) && heard.isCurrent(link, pace, now)
  const isNear = isCovered && !ranking.far.some(host => linkOf(host) === link)
  return only({
    ...state,
    links: heard,
    soundness: state.soundness.known(asOf),
    tables: behind.length === 0 ? tables : { ...tables, ...Object.fromEntries(behind) },
    coveredAt: isCovered ? now : coveredAt,
    nearAt: isNear ? now : nearAt
  })
}

function spoke (state: ControlState, { link, word }: Event<'spoke'>, now: Instant, age: Instant): ControlStep {
  const { followers, tables, soundness } = state
  const welcome: ControlAction = { kind: 'tell', link, word: { kind: 'welcome', hasTables: isKnown(state), storeMs: soundness.storeMs(age) } }
  if (word.kind === 'alive') return { state: { ...state, followers: followers.spoke(link, now) }, actions: [welcome] }
  const rows = tableNames.flatMap((table): ControlAction[] => {
    const { version } = tables[table]
    if (version === undefined) return []
    const had = word.versions[table]
    const changes = had === undefined ? undefined : tables[table].since(had)
    if (changes?.length === 0) return []
    return [{ kind: 'tell', link, word: { kind: 'rows', table, isWhole: changes === undefined, rows: changes ?? tables[table].rows, version } }]
  })
  return { state: { ...state, followers: followers.followed(link, word.self, now) }, actions: [welcome, ...rows] }
}

function isKnown ({ tables }: ControlState): boolean {
  return tableNames.every(name => tables[name].version !== undefined)
}

function only (state: ControlState): ControlStep {
  return { state, actions: [] }
}
