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
import type { SyncAction } from './syncaction.ts'
import type { SyncEvent } from './syncevent.ts'
import type { SyncState } from './syncstate.ts'
import type { SyncStep } from './syncstep.ts'
import { isReady } from './readiness.ts'
import { Followers } from './followers.ts'
import type { HostEntry } from './hostentry.ts'
import { followAction } from './followaction.ts'
import { latenessOf } from './lateness.ts'
import { applyRows } from './applyrows.ts'
import type { LinkId } from './linkid.ts'
import { linkOf } from './linkof.ts'
import { SourceLinks } from './sourcelinks.ts'
import { plan } from './plan.ts'
import { StoreQuery } from './storequery.ts'
import { updateRanking } from './updateranking.ts'
import { ReaderRanking } from './readerranking.ts'
import { HostRegistry } from './hostregistry.ts'
import { Staleness } from './staleness.ts'
import { ReplicatedTable } from './replicatedtable.ts'
import type { TableName } from './tablename.ts'
import { tableNames } from './tablenames.ts'
import { selectSources } from './sourceselection.ts'
import type { SyncMessage } from './syncmessage.ts'

type Options = Pick<SyncState, 'self' | 'pace' | 'seeds' | 'isSeed' | 'isFirstStart'>
type Event<K extends SyncEvent['kind']> = Extract<SyncEvent, { kind: K }>

interface Step {
  readonly next: TableSync
  readonly actions: readonly SyncAction[]
}

/** Between a reader's tries while the store fails it: soon enough for a new version to be in force in time. */
const READER_RETRY = { firstMs: 100, mostMs: 1000 }
/** Of a host that isn't a reader, in the reader's silence: all hosts may be in the same case at once. */
const MAX_RETRY_FACTOR = 8
/** Rows of the roll lapse by the clock, so the ranking is worked out again so often. */
const RANKING_INTERVAL_MS = 5000
/** The first row of the roll waits for so long, so that hosts that start together are in it. */
const FIRST_ROW_DELAY_MS = 500
/** A row that wasn't written is tried again after so long. */
const ROW_RETRY_MS = 1000
/** After news of the roll it's asked for again so much later: hosts that come or go together are then heard of together. */
const REGISTRY_QUERY_DELAY_MS = 1000
const NEVER = -Infinity as Instant

/** Immutable; an event yields the next value and what to do. */
export class TableSync {
  private constructor (private readonly state: SyncState) {}

  static create (options: Options, now: Instant): TableSync {
    return new TableSync({
      ...options,
      startedAt: now,
      tickedAt: now,
      tables: { config: ReplicatedTable.empty, endpoints: ReplicatedTable.empty, shared: ReplicatedTable.empty, roll: ReplicatedTable.empty },
      questions: { config: StoreQuery.none, endpoints: StoreQuery.none, shared: StoreQuery.none, roll: StoreQuery.none },
      staleness: Staleness.none,
      links: SourceLinks.none,
      followers: Followers.none,
      roll: HostRegistry.empty,
      ranking: ReaderRanking.of([options.self], options.self),
      rankedAt: now,
      localSourceAt: now,
      sourceAt: now,
      heartbeatAt: NEVER,
      keepaliveAt: now,
      row: { value: '', at: NEVER, notBefore: now + FIRST_ROW_DELAY_MS as Instant, isPending: false },
      copy: { notBefore: now, isPending: false },
      consultedUntil: new Map()
    })
  }

  /** Hosts that are alive, this one among them, in the order of their ids. */
  get hosts (): readonly HostEntry[] {
    return this.state.ranking.hosts
  }

  /** Whether every table is known. */
  get hasAllTables (): boolean {
    return hasAllTables(this.state)
  }

  /** Whether what is known is enough to serve. */
  isReady (now: Instant): boolean {
    return isReady(this.state, now)
  }

  /** Whether this host is telling the store who is there. */
  get isWriting (): boolean {
    return this.state.row.isPending
  }

  /** Milliseconds for which the table may have been another one in the store. `age`: of the clock that counts suspension. */
  ageMs (table: TableName, age: Instant): number {
    return this.state.staleness.ageMs(table, age)
  }

  /** `chance`: spreads tries; from 0 to 1. `age`: the time on the clock that counts suspension. */
  step (event: SyncEvent, chance: number, now: Instant, age: Instant = now): Step {
    const taken = handleEvent(this.state, event, chance, now, age)
    // By far the most frequent events, and what follows from them has time until the next tick.
    const isFrequent = (event.kind === 'told' && event.message.kind === 'beat') || (event.kind === 'spoke' && event.message.kind === 'alive')
    if (isFrequent) return { next: new TableSync(taken.state), actions: taken.actions }
    const planned = plan(taken.state, now, age)
    return { next: new TableSync(planned.state), actions: [...taken.actions, ...planned.actions] }
  }
}

function handleEvent (state: SyncState, event: SyncEvent, chance: number, now: Instant, age: Instant): SyncStep {
  switch (event.kind) {
    case 'tick': return handleTick(state, now)
    case 'answered': return answered(state, event, now)
    case 'forgotten': return withoutActions({ ...state, questions: { ...state.questions, [event.table]: state.questions[event.table].historyLost() } })
    case 'failed': return handleFailure(state, event.table, chance, now)
    case 'written': return withoutActions({ ...state, row: event.isDone ? { ...state.row, isPending: false } : { ...state.row, value: '', notBefore: now + ROW_RETRY_MS as Instant, isPending: false } })
    case 'copied': return withoutActions({ ...state, copy: { ...state.copy, isPending: false } })
    case 'opened': return handleOpened(state, event.link, now, age)
    case 'lost': return withoutActions({ ...state, links: state.links.has(event.link) ? state.links.lost(event.link, now) : state.links })
    case 'told': return handleSourceMessage(state, event, now)
    case 'spoke': return handleFollowerMessage(state, event, now, age)
    case 'left': return withoutActions({ ...state, followers: state.followers.left(event.link) })
    case 'consult': return withoutActions({ ...state, consultedUntil: new Map([...state.consultedUntil, [event.link, now + state.pace.silenceTimeoutMs as Instant]]) })
    case 'leave': return left(state, now)
  }
}

/** A process that was suspended finds all others silent, though their words wait for it. */
function handleTick (state: SyncState, now: Instant): SyncStep {
  const { tickedAt, pace, links, rankedAt } = state
  const gap = now - tickedAt
  const next = { ...state, tickedAt: now, links: gap > pace.silenceTimeoutMs ? links.shiftedBy(gap) : links }
  return now - rankedAt < RANKING_INTERVAL_MS ? withoutActions(next) : updateRanking(next, now)
}

function answered (state: SyncState, { table, isWhole, rows, version, sentAt: askedAt, storeMs }: Event<'answered'>, now: Instant): SyncStep {
  const { questions, pace, heartbeatAt: beatAt } = state
  const staleness = state.staleness.withClockSample(askedAt, storeMs).withAsOf({ [table]: storeMs })
  const restMs = table === 'roll' && rows.length > 0 ? REGISTRY_QUERY_DELAY_MS : 0
  const next = { ...state, staleness, questions: { ...questions, [table]: questions[table].answered(now, restMs) } }
  // Those who wait to hear that the store answers again are told at once.
  const wasLate = latenessOf(state, now).ownLateMs > pace.answerMs
  return applyRows({ ...next, heartbeatAt: wasLate ? NEVER : beatAt }, { table, isWhole, rows, version }, now)
}

function handleFailure (state: SyncState, table: TableName, chance: number, now: Instant): SyncStep {
  const { questions, pace, heartbeatAt: beatAt } = state
  const retry = selectSources(state, now).isReader ? READER_RETRY : { firstMs: pace.silenceTimeoutMs, mostMs: MAX_RETRY_FACTOR * pace.silenceTimeoutMs }
  const waitMs = backoff(questions[table].failures, retry, chance)
  const next = { ...state, questions: { ...questions, [table]: questions[table].failed(now, waitMs) } }
  // Those that follow turn to others as soon as they know that the store keeps this one waiting.
  return withoutActions({ ...next, heartbeatAt: latenessOf(next, now).lateMs > pace.answerMs ? NEVER : beatAt })
}

function handleOpened (state: SyncState, link: LinkId, now: Instant, age: Instant): SyncStep {
  const next = { ...state, links: state.links.opened(link, now).messageSent(link, age) }
  return { state: next, actions: [followAction(next, link)] }
}

function left (state: SyncState, now: Instant): SyncStep {
  const next = { ...state, self: { ...state.self, isLeaving: true }, row: { ...state.row, notBefore: now } }
  return { state: next, actions: next.links.open.map(link => followAction(next, link)) }
}

function handleSourceMessage (state: SyncState, { link, message: word }: Event<'told'>, now: Instant): SyncStep {
  const { links } = state
  if (!links.has(link)) return withoutActions(state)
  switch (word.kind) {
    case 'welcome': return handleWelcome(state, link, word, now)
    case 'rows': return applyRows({ ...state, links: links.heard(link, now) }, word, now)
    case 'beat': return beat(state, link, word, now)
  }
}

function handleWelcome (state: SyncState, link: LinkId, { hasTables, storeMs }: Extract<SyncMessage, { kind: 'welcome' }>, now: Instant): SyncStep {
  const { links, staleness: soundness } = state
  const saidAt = links.unansweredSince(link)
  const sampled = saidAt === undefined || storeMs === undefined ? soundness : soundness.withClockSample(saidAt, storeMs)
  return withoutActions({ ...state, staleness: sampled, links: links.welcomeReceived(link, hasTables, now) })
}

/** All rows up to the versions were told before it over the same link, so this host is as new as that. */
function beat (state: SyncState, link: LinkId, { lateMs, ownLateMs, versions, asOf }: Extract<SyncMessage, { kind: 'beat' }>, now: Instant): SyncStep {
  const { tables, links, pace, ranking, sourceAt: coveredAt, localSourceAt: nearAt } = state
  const isBehind = (name: TableName) => tables[name].version !== undefined && tables[name].version < (versions[name] ?? 0)
  const behind = tableNames.filter(isBehind).map(name => [name, tables[name].applyChanges([], versions[name]!).next])
  const heard = links.beat(link, { lateMs, ownLateMs }, tableNames.every(name => versions[name] !== undefined), now)
  const isCovered = hasAllTables(state) && heard.isCurrent(link, pace, now)
  const isNear = isCovered && !ranking.remote.some(host => linkOf(host) === link)
  return withoutActions({
    ...state,
    links: heard,
    staleness: state.staleness.withAsOf(asOf),
    tables: behind.length === 0 ? tables : { ...tables, ...Object.fromEntries(behind) },
    sourceAt: isCovered ? now : coveredAt,
    localSourceAt: isNear ? now : nearAt
  })
}

function handleFollowerMessage (state: SyncState, { link, message: word }: Event<'spoke'>, now: Instant, age: Instant): SyncStep {
  const { followers, tables, staleness: soundness } = state
  const welcome: SyncAction = { kind: 'tell', link, message: { kind: 'welcome', hasTables: hasAllTables(state), storeMs: soundness.storeMs(age) } }
  if (word.kind === 'alive') return { state: { ...state, followers: followers.markHeard(link, now) }, actions: [welcome] }
  const rows = tableNames.flatMap((table): SyncAction[] => {
    const { version } = tables[table]
    if (version === undefined) return []
    const had = word.versions[table]
    const changes = had === undefined ? undefined : tables[table].since(had)
    if (changes?.length === 0) return []
    return [{ kind: 'tell', link, message: { kind: 'rows', table, isWhole: changes === undefined, rows: changes ?? tables[table].rows, version } }]
  })
  return { state: { ...state, followers: followers.add(link, word.self, now) }, actions: [welcome, ...rows] }
}

function hasAllTables ({ tables }: SyncState): boolean {
  return tableNames.every(name => tables[name].version !== undefined)
}

function withoutActions (state: SyncState): SyncStep {
  return { state, actions: [] }
}
