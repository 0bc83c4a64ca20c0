/** Plans the actions that follow from the state: links, queries, writes and heartbeats. */

import type { Instant } from '../../id/instant.ts'
import type { SyncState } from './syncstate.ts'
import type { SyncStep } from './syncstep.ts'
import { planCopy } from './plancopy.ts'
import { planQuery } from './planquery.ts'
import { planUpdates } from './planupdates.ts'
import { Followers } from './followers.ts'
import { latenessOf } from './lateness.ts'
import { planRegistryWrite } from './planregistrywrite.ts'
import type { TableName } from './tablename.ts'
import { tableNames } from './tablenames.ts'
import { versionsOf } from './versions.ts'
import { selectSources } from './sourceselection.ts'
import type { SyncMessage } from './syncmessage.ts'

type Beat = Extract<SyncMessage, { kind: 'beat' }>
type Planner = (state: SyncState, now: Instant, age: Instant) => SyncStep

/** Least interval between writes of this host's registry row, so that hosts that start or end together share one: each write wakes all readers. */
const MIN_ROW_INTERVAL_MS = 3000
/** Interval at which a registry write is considered. */
const ROW_CHECK_MS = 500

const PLANNERS: readonly Planner[] = [closeFailedLinks, updateLinks, ask, writeRegistryRow, copy, planUpdates, sendHeartbeats]

/** Idempotent, so it may run after any event. */
export function plan (state: SyncState, now: Instant, age: Instant): SyncStep {
  return PLANNERS.reduce<SyncStep>((sum, part) => {
    const next = part(sum.state, now, age)
    return { state: next.state, actions: [...sum.actions, ...next.actions] }
  }, { state, actions: [] })
}

function closeFailedLinks (state: SyncState, now: Instant): SyncStep {
  const { links, pace, followers } = state
  const failing = links.failing(pace, now)
  const silent = followers.silent(now)
  return {
    state: {
      ...state,
      links: [...failing.keys()].reduce((sum, link) => sum.lost(link, now), links),
      followers: silent.reduce((sum, link) => sum.left(link), followers)
    },
    actions: [
      ...[...failing].map(([link, why]) => ({ kind: 'close', link, why } as const)),
      ...silent.map(link => ({ kind: 'drop', link } as const))
    ]
  }
}

/** Links that are no longer selected stay open until a selected one is current, or this host reads from the store itself. */
function updateLinks (state: SyncState, now: Instant): SyncStep {
  const { links, pace } = state
  const { links: ids, isReader } = selectSources(state, now)
  const hasCurrentSource = isReader || ids.some(id => links.isCurrent(id, pace, now))
  const opened = ids.filter(id => !links.has(id))
  const closed = hasCurrentSource ? links.ids.filter(id => !ids.includes(id)) : []
  const dialled = opened.reduce((sum, id) => sum.dialing(id, now), links)
  return {
    state: { ...state, links: closed.reduce((sum, id) => sum.without(id), dialled) },
    actions: [
      ...opened.map(link => ({ kind: 'open', link } as const)),
      ...closed.map(link => ({ kind: 'close', link, why: 'others' } as const))
    ]
  }
}

function ask (state: SyncState, now: Instant): SyncStep {
  const { isReader } = selectSources(state, now)
  const actions = tableNames.flatMap(table => planQuery(state, table, isReader, now) ?? [])
  const queries = actions.reduce((sum, { table }) => ({ ...sum, [table]: sum[table].sent(now) }), state.queries)
  return { state: { ...state, queries }, actions }
}

function writeRegistryRow (state: SyncState, now: Instant): SyncStep {
  const { row } = state
  if (row.isPending || now < row.notBefore) return { state, actions: [] }
  const due = planRegistryWrite(state, selectSources(state, now).isReader, now)
  if (due === undefined) return { state: { ...state, row: { ...row, notBefore: now + ROW_CHECK_MS as Instant } }, actions: [] }
  return { state: { ...state, row: { value: due.value, at: now, notBefore: now + MIN_ROW_INTERVAL_MS as Instant, isPending: true } }, actions: [due] }
}

function copy (state: SyncState, now: Instant): SyncStep {
  const { copy, pace } = state
  if (copy.isPending || now < copy.notBefore) return { state, actions: [] }
  const due = planCopy(state, selectSources(state, now).isReader, now)
  const next = { notBefore: now + pace.copyIntervalMs as Instant, isPending: due !== undefined }
  return { state: { ...state, copy: next }, actions: due === undefined ? [] : [due] }
}

function sendHeartbeats (state: SyncState, now: Instant, age: Instant): SyncStep {
  const { followers, links, pace, staleness, heartbeatAt, keepaliveAt } = state
  const isHeartbeatDue = followers.links.length > 0 && now - heartbeatAt >= pace.heartbeatMs
  // After a suspension the configuration looks stale until a welcome brings a new sample of the store's clock.
  const isStale = staleness.ageMs('config', age) > pace.normalConfigAgeMs && now - keepaliveAt >= pace.heartbeatMs
  const isKeepaliveDue = isStale || now - keepaliveAt >= Followers.keepaliveMs
  if (!isHeartbeatDue && !isKeepaliveDue) return { state, actions: [] }
  const beat: Beat = { kind: 'beat', ...latenessOf(state, now), versions: versionsOf(state), asOf: staleness.asOf }
  const notified = isKeepaliveDue ? links.open.reduce((sum, link) => sum.messageSent(link, age), links) : links
  return {
    state: { ...state, links: notified, heartbeatAt: isHeartbeatDue ? now : heartbeatAt, keepaliveAt: isKeepaliveDue ? now : keepaliveAt },
    actions: [
      ...(isHeartbeatDue ? followers.links.map(link => ({ kind: 'tell', link, message: heartbeatTo(link, followers, beat) } as const)) : []),
      ...(isKeepaliveDue ? links.open.map(link => ({ kind: 'say', link, message: { kind: 'alive' } } as const)) : [])
    ]
  }
}

/** A follower from which rows are held back is told only of what it was sent. */
function heartbeatTo (link: number, followers: Followers, beat: Beat): Beat {
  const backlogs = followers.backlogs(link)
  if (backlogs.length === 0) return beat
  const versions = backlogs.map(([table, { version }]) => [table, version] as const)
  const asOf = backlogs.map(([table, one]) => [table, one.asOf] as const)
  return { ...beat, versions: overridden(beat.versions, versions), asOf: overridden(beat.asOf, asOf) }
}

function overridden (all: Beat['versions'], own: ReadonlyArray<readonly [TableName, number | undefined]>): Beat['versions'] {
  return Object.fromEntries(Object.entries({ ...all, ...Object.fromEntries(own) }).filter(([, value]) => value !== undefined))
}
