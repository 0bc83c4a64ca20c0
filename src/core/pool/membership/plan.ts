/** Brings links, questions, rows and words of a host in line with what it knows. */

import type { Instant } from '../../id/instant.ts'
import type { SyncState } from './syncstate.ts'
import type { SyncStep } from './syncstep.ts'
import { planCopy } from './plancopy.ts'
import { planQuery } from './planquery.ts'
import { Followers } from './followers.ts'
import { latenessOf } from './lateness.ts'
import { planRegistryWrite } from './planregistrywrite.ts'
import { tableNames } from './tablenames.ts'
import { versionsOf } from './versions.ts'
import { selectSources } from './sourceselection.ts'
import type { SyncMessage } from './syncmessage.ts'

type Planner = (state: SyncState, now: Instant, age: Instant) => SyncStep

/** A row of the roll isn't written sooner after the one before: hosts that start or end together are told of together, since each writing wakes all who follow the store. */
const MIN_ROW_INTERVAL_MS = 3000
/** Between two looks whether the row is to be written. */
const ROW_CHECK_MS = 500

const PLANNERS: readonly Planner[] = [closeFailedLinks, updateLinks, ask, writeRegistryRow, copy, sendHeartbeats]

/** Does nothing that was done already, so it may follow any event. */
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

/** A link that isn't wanted any more is kept until one that is brings news, or this host asks the store itself. */
function updateLinks (state: SyncState, now: Instant): SyncStep {
  const { links, pace } = state
  const { links: ids, isReader } = selectSources(state, now)
  const isCovered = isReader || ids.some(id => links.isCurrent(id, pace, now))
  const opened = ids.filter(id => !links.has(id))
  const closed = isCovered ? links.ids.filter(id => !ids.includes(id)) : []
  const begun = opened.reduce((sum, id) => sum.dialing(id, now), links)
  return {
    state: { ...state, links: closed.reduce((sum, id) => sum.without(id), begun) },
    actions: [
      ...opened.map(link => ({ kind: 'open', link } as const)),
      ...closed.map(link => ({ kind: 'close', link, why: 'others' } as const))
    ]
  }
}

function ask (state: SyncState, now: Instant): SyncStep {
  const { isReader } = selectSources(state, now)
  const actions = tableNames.flatMap(table => planQuery(state, table, isReader, now) ?? [])
  const questions = actions.reduce((sum, { table }) => ({ ...sum, [table]: sum[table].sent(now) }), state.questions)
  return { state: { ...state, questions }, actions }
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
  const { followers, links, pace, staleness: soundness, heartbeatAt: beatAt, keepaliveAt: spokeAt } = state
  const isBeat = followers.links.length > 0 && now - beatAt >= pace.heartbeatMs
  // What this host knows looks too old after a suspension, until it's told anew what the store's clock shows.
  const isDoubtful = soundness.ageMs('config', age) > pace.normalConfigAgeMs && now - spokeAt >= pace.heartbeatMs
  const isAlive = isDoubtful || now - spokeAt >= Followers.keepaliveMs
  if (!isBeat && !isAlive) return { state, actions: [] }
  const beat: SyncMessage = { kind: 'beat', ...latenessOf(state, now), versions: versionsOf(state), asOf: soundness.asOf }
  const said = isAlive ? links.open.reduce((sum, link) => sum.messageSent(link, age), links) : links
  return {
    state: { ...state, links: said, heartbeatAt: isBeat ? now : beatAt, keepaliveAt: isAlive ? now : spokeAt },
    actions: [
      ...(isBeat ? followers.links.map(link => ({ kind: 'tell', link, message: beat } as const)) : []),
      ...(isAlive ? links.open.map(link => ({ kind: 'say', link, message: { kind: 'alive' } } as const)) : [])
    ]
  }
}
