/**
 * State machine that replicates the store's tables to every host: a few readers of each data centre query the store, and the other
 * hosts follow them.
 *
 * Correctness doesn't depend on who sends rows, since each carries the store's version and an older one never replaces a newer one.
 * Staleness is bounded: heartbeats say how overdue the store's answer is, and a host without a current source for too long queries the
 * store itself (see SyncTimings for the bound).
 */

import type { Instant } from '../../id/instant.ts'
import { backoff } from '../../membership/backoff.ts'
import { weightOf } from '../../weight.ts'
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
import { isLarge } from './islarge.ts'
import type { Row } from './row.ts'
import type { RowsMessage } from './rowsmessage.ts'
import { rowsSince } from './rowssince.ts'
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

/** Backoff of a reader while its queries fail; short enough for a new version to be applied in time. */
const READER_RETRY = { firstMs: 100, mostMs: 1000 }
/** Longest backoff of other hosts, in silence timeouts; all of them may query the store at once when the readers fail. */
const MAX_RETRY_FACTOR = 8
/** Interval at which the ranking is recomputed, since rows of the host registry expire by time. */
const RANKING_INTERVAL_MS = 5000
/** Delay of a host's first registry row, so that it includes hosts that start at the same time. */
const FIRST_ROW_DELAY_MS = 500
/** Delay before a registry row that wasn't written is tried again. */
const ROW_RETRY_MS = 1000
/** Delay of the next query for the host registry after a change, so that hosts that come or go together arrive in one answer. */
const REGISTRY_QUERY_DELAY_MS = 1000
const NEVER = -Infinity as Instant

/** Immutable; `step` returns the next state and the actions to carry out. */
export class TableSync {
  private constructor (private readonly state: SyncState) {}

  static create (options: Options, now: Instant): TableSync {
    return new TableSync({
      ...options,
      startedAt: now,
      tickedAt: now,
      tables: { config: ReplicatedTable.empty, endpoints: ReplicatedTable.empty, shared: ReplicatedTable.empty, roll: ReplicatedTable.empty },
      queries: { config: StoreQuery.none, endpoints: StoreQuery.none, shared: StoreQuery.none, roll: StoreQuery.none },
      staleness: Staleness.none,
      links: SourceLinks.none,
      followers: Followers.none,
      updates: {},
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

  /** Live hosts, including this one, sorted by id. */
  get hosts (): readonly HostEntry[] {
    return this.state.ranking.hosts
  }

  /** Whether every table is known. */
  get hasAllTables (): boolean {
    return hasAllTables(this.state)
  }

  /** Whether enough tables are known to serve callers. */
  isReady (now: Instant): boolean {
    return isReady(this.state, now)
  }

  /** Whether a write of this host's registry row is in progress. */
  get isWriting (): boolean {
    return this.state.row.isPending
  }

  /** Upper bound for the staleness of the table in milliseconds. `age`: the time on the clock that counts suspension. */
  ageMs (table: TableName, age: Instant): number {
    return this.state.staleness.ageMs(table, age)
  }

  /** `chance`: a random number from 0 to 1 that spreads retries. `age`: the time on the clock that counts suspension. */
  step (event: SyncEvent, chance: number, now: Instant, age: Instant = now): Step {
    const handled = handleEvent(this.state, event, chance, now, age)
    // These are by far the most frequent events; their consequences can wait until the next tick.
    const isFrequent = event.kind === 'partTold' || (event.kind === 'told' && event.message.kind === 'beat') || (event.kind === 'spoke' && event.message.kind === 'alive')
    if (isFrequent) return { next: new TableSync(handled.state), actions: handled.actions }
    const planned = plan(handled.state, now, age)
    return { next: new TableSync(planned.state), actions: [...handled.actions, ...planned.actions] }
  }
}

function handleEvent (state: SyncState, event: SyncEvent, chance: number, now: Instant, age: Instant): SyncStep {
  switch (event.kind) {
    case 'tick': return handleTick(state, now)
    case 'answered': return answered(state, event, now)
    case 'forgotten': return withoutActions({ ...state, queries: { ...state.queries, [event.table]: state.queries[event.table].historyLost() } })
    case 'failed': return handleFailure(state, event.table, chance, now)
    case 'written': return withoutActions({ ...state, row: event.isDone ? { ...state.row, isPending: false } : { ...state.row, value: '', notBefore: now + ROW_RETRY_MS as Instant, isPending: false } })
    case 'copied': return withoutActions({ ...state, copy: { ...state.copy, isPending: false } })
    case 'opened': return handleOpened(state, event.link, now, age)
    case 'lost': return withoutActions({ ...state, links: state.links.has(event.link) ? state.links.lost(event.link, now) : state.links })
    case 'told': return handleSourceMessage(state, event, now)
    case 'partTold': return withoutActions({ ...state, links: state.links.partReceived(event.link, now) })
    case 'spoke': return handleFollowerMessage(state, event, now, age)
    case 'left': return withoutActions({ ...state, followers: state.followers.left(event.link) })
    case 'consult': return withoutActions({ ...state, consultedUntil: new Map([...state.consultedUntil, [event.link, now + state.pace.silenceTimeoutMs as Instant]]) })
    case 'leave': return left(state, now)
  }
}

/** After a suspension of this process the silence of other hosts is discounted, since their messages haven't been read yet. */
function handleTick (state: SyncState, now: Instant): SyncStep {
  const { tickedAt, pace, links, rankedAt } = state
  const gap = now - tickedAt
  const next = { ...state, tickedAt: now, links: gap > pace.silenceTimeoutMs ? links.shiftedBy(gap) : links }
  return now - rankedAt < RANKING_INTERVAL_MS ? withoutActions(next) : updateRanking(next, now)
}

function answered (state: SyncState, { table, isWhole, rows, version, sentAt, storeMs }: Event<'answered'>, now: Instant): SyncStep {
  const { queries, pace, heartbeatAt } = state
  const staleness = state.staleness.withClockSample(sentAt, storeMs).withAsOf({ [table]: storeMs })
  const delayMs = table === 'roll' && rows.length > 0 ? REGISTRY_QUERY_DELAY_MS : 0
  const next = { ...state, queries: { ...queries, [table]: queries[table].answered(now, delayMs) } }
  // Sends a heartbeat at once when the store answers again, since followers wait for it.
  const wasLate = latenessOf(state, now).ownLateMs > pace.answerMs
  const applied = applyRows({ ...next, heartbeatAt: wasLate ? NEVER : heartbeatAt }, { table, isWhole, rows, version }, now)
  return confirm({ state: { ...applied.state, staleness }, actions: applied.actions }, table, rows, [])
}

function handleFailure (state: SyncState, table: TableName, chance: number, now: Instant): SyncStep {
  const { queries, pace, heartbeatAt } = state
  const retry = selectSources(state, now).isReader ? READER_RETRY : { firstMs: pace.silenceTimeoutMs, mostMs: MAX_RETRY_FACTOR * pace.silenceTimeoutMs }
  const waitMs = backoff(queries[table].failures, retry, chance)
  const next = { ...state, queries: { ...queries, [table]: queries[table].failed(now, waitMs) } }
  // Sends a heartbeat at once when the store is late, so that followers switch to other sources.
  return withoutActions({ ...next, heartbeatAt: latenessOf(next, now).lateMs > pace.answerMs ? NEVER : heartbeatAt })
}

function handleOpened (state: SyncState, link: LinkId, now: Instant, age: Instant): SyncStep {
  const next = { ...state, links: state.links.opened(link, now).messageSent(link, age) }
  return { state: next, actions: [followAction(next, link)] }
}

function left (state: SyncState, now: Instant): SyncStep {
  const next = { ...state, self: { ...state.self, isLeaving: true }, row: { ...state.row, notBefore: now } }
  return { state: next, actions: next.links.open.map(link => followAction(next, link)) }
}

function handleSourceMessage (state: SyncState, { link, message }: Event<'told'>, now: Instant): SyncStep {
  const { links } = state
  if (!links.has(link)) return withoutActions(state)
  switch (message.kind) {
    case 'welcome': return handleWelcome(state, link, message, now)
    case 'rows': return handleRows({ ...state, links: links.heard(link, now) }, link, message, now)
    case 'beat': return beat(state, link, message, now)
  }
}

function handleWelcome (state: SyncState, link: LinkId, { hasTables, storeMs }: Extract<SyncMessage, { kind: 'welcome' }>, now: Instant): SyncStep {
  const { links, staleness } = state
  const sentAt = links.unansweredSince(link)
  const sampled = sentAt === undefined || storeMs === undefined ? staleness : staleness.withClockSample(sentAt, storeMs)
  return withoutActions({ ...state, staleness: sampled, links: links.welcomeReceived(link, hasTables, now) })
}

function handleRows (state: SyncState, link: LinkId, message: RowsMessage, now: Instant): SyncStep {
  if (message.isToConfirm !== true) return applyRows(state, message, now)
  const applied = applyRows({ ...state, links: state.links.confirmationRequested(link) }, message, now)
  return confirm(applied, message.table, message.rows, [link])
}

/** Says that this host has the rows: to the host that sent them, and if they are large and new, to other sources, which then needn't send them. */
function confirm ({ state, actions }: SyncStep, table: TableName, rows: readonly Row[], from: readonly LinkId[]): SyncStep {
  const { version } = state.tables[table]
  if (version === undefined) return { state, actions }
  const isNews = actions.some(({ kind }) => kind === 'news') && isLarge({ table, rows })
  const links = new Set([...from, ...(isNews ? state.links.confirmed : [])])
  // Before the other actions, since applying a configuration takes a while.
  return { state, actions: [...[...links].map(link => ({ kind: 'say', link, message: { kind: 'confirm', table, version, isAnswer: from.includes(link) } } as const)), ...actions] }
}

/** A heartbeat follows all rows up to its versions on the same link, so the tables are now known up to them. */
function beat (state: SyncState, link: LinkId, { lateMs, ownLateMs, versions, asOf }: Extract<SyncMessage, { kind: 'beat' }>, now: Instant): SyncStep {
  const { tables, links, pace, ranking, sourceAt, localSourceAt } = state
  const isBehind = (name: TableName) => tables[name].version !== undefined && tables[name].version < (versions[name] ?? 0)
  const advanced = tableNames.filter(isBehind).map(name => [name, tables[name].applyChanges([], versions[name]!).next])
  const heard = links.beat(link, { lateMs, ownLateMs }, tableNames.every(name => versions[name] !== undefined), now)
  const isCovered = hasAllTables(state) && heard.isCurrent(link, pace, now)
  const isLocal = isCovered && !ranking.remote.some(host => linkOf(host) === link)
  return withoutActions({
    ...state,
    links: heard,
    staleness: state.staleness.withAsOf(asOf),
    tables: advanced.length === 0 ? tables : { ...tables, ...Object.fromEntries(advanced) },
    sourceAt: isCovered ? now : sourceAt,
    localSourceAt: isLocal ? now : localSourceAt
  })
}

function handleFollowerMessage (state: SyncState, { link, message }: Event<'spoke'>, now: Instant, age: Instant): SyncStep {
  const { followers, self, staleness } = state
  if (message.kind === 'confirm') return withoutActions({ ...state, followers: followers.confirmed(link, message, now) })
  const welcome: SyncAction = { kind: 'tell', link, message: { kind: 'welcome', hasTables: hasAllTables(state), storeMs: staleness.storeMs(age) } }
  if (message.kind === 'alive') return { state: { ...state, followers: followers.markHeard(link, now) }, actions: [welcome] }
  const rows = tableNames.flatMap(table => rowsSince(state, table, message.versions[table]) ?? [])
  const added = followers.add(link, message.self, { isConfirming: message.isConfirming === true, rank: weightOf(`${self.id}/${message.self.id}`) }, now)
  const next = { ...state, followers: rows.reduce((sum, one) => sum.sent(link, one, now), added) }
  return { state: next, actions: [welcome, ...rows.map(one => ({ kind: 'tell', link, message: one } as const))] }
}

function hasAllTables ({ tables }: SyncState): boolean {
  return tableNames.every(name => tables[name].version !== undefined)
}

function withoutActions (state: SyncState): SyncStep {
  return { state, actions: [] }
}
