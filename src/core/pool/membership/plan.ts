/** Brings links, questions, rows and words of a host in line with what it knows. */

import type { Instant } from '../../id/instant.ts'
import type { ControlState } from './controlstate.ts'
import type { ControlStep } from './controlstep.ts'
import { dueCopy } from './copydue.ts'
import { dueQuestion } from './due.ts'
import { Followers } from './followers.ts'
import { latenessOf } from './lateness.ts'
import { dueRow } from './rolldue.ts'
import { tableNames } from './tablenames.ts'
import { versionsOf } from './versions.ts'
import { wanted } from './wanted.ts'
import type { Word } from './word.ts'

type Part = (state: ControlState, now: Instant, age: Instant) => ControlStep

/** A row of the roll isn't written sooner after the one before: hosts that start or end together are told of together, since each writing wakes all who follow the store. */
const ROW_GAP_MS = 3000
/** Between two looks whether the row is to be written. */
const ROW_LOOK_MS = 500

const PARTS: readonly Part[] = [giveUp, relink, ask, write, copy, speak]

/** Does nothing that was done already, so it may follow any event. */
export function plan (state: ControlState, now: Instant, age: Instant): ControlStep {
  return PARTS.reduce<ControlStep>((sum, part) => {
    const next = part(sum.state, now, age)
    return { state: next.state, actions: [...sum.actions, ...next.actions] }
  }, { state, actions: [] })
}

function giveUp (state: ControlState, now: Instant): ControlStep {
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
function relink (state: ControlState, now: Instant): ControlStep {
  const { links, pace } = state
  const { links: ids, isReader } = wanted(state, now)
  const isCovered = isReader || ids.some(id => links.isCurrent(id, pace, now))
  const opened = ids.filter(id => !links.has(id))
  const closed = isCovered ? links.ids.filter(id => !ids.includes(id)) : []
  const begun = opened.reduce((sum, id) => sum.begun(id, now), links)
  return {
    state: { ...state, links: closed.reduce((sum, id) => sum.closed(id), begun) },
    actions: [
      ...opened.map(link => ({ kind: 'open', link } as const)),
      ...closed.map(link => ({ kind: 'close', link, why: 'others' } as const))
    ]
  }
}

function ask (state: ControlState, now: Instant): ControlStep {
  const { isReader } = wanted(state, now)
  const actions = tableNames.flatMap(table => dueQuestion(state, table, isReader, now) ?? [])
  const questions = actions.reduce((sum, { table }) => ({ ...sum, [table]: sum[table].asked(now) }), state.questions)
  return { state: { ...state, questions }, actions }
}

function write (state: ControlState, now: Instant): ControlStep {
  const { row } = state
  if (row.isOpen || now < row.notBefore) return { state, actions: [] }
  const due = dueRow(state, wanted(state, now).isReader, now)
  if (due === undefined) return { state: { ...state, row: { ...row, notBefore: now + ROW_LOOK_MS as Instant } }, actions: [] }
  return { state: { ...state, row: { value: due.value, at: now, notBefore: now + ROW_GAP_MS as Instant, isOpen: true } }, actions: [due] }
}

function copy (state: ControlState, now: Instant): ControlStep {
  const { copy, pace } = state
  if (copy.isOpen || now < copy.notBefore) return { state, actions: [] }
  const due = dueCopy(state, wanted(state, now).isReader, now)
  const next = { notBefore: now + pace.copyMs as Instant, isOpen: due !== undefined }
  return { state: { ...state, copy: next }, actions: due === undefined ? [] : [due] }
}

function speak (state: ControlState, now: Instant, age: Instant): ControlStep {
  const { followers, links, pace, soundness, beatAt, spokeAt } = state
  const isBeat = followers.links.length > 0 && now - beatAt >= pace.beatMs
  // What this host knows looks too old after a suspension, until it's told anew what the store's clock shows.
  const isDoubtful = soundness.ageMs('config', age) > pace.freshMs && now - spokeAt >= pace.beatMs
  const isAlive = isDoubtful || now - spokeAt >= Followers.speakMs
  if (!isBeat && !isAlive) return { state, actions: [] }
  const beat: Word = { kind: 'beat', ...latenessOf(state, now), versions: versionsOf(state), asOf: soundness.asOf }
  const said = isAlive ? links.open.reduce((sum, link) => sum.said(link, age), links) : links
  return {
    state: { ...state, links: said, beatAt: isBeat ? now : beatAt, spokeAt: isAlive ? now : spokeAt },
    actions: [
      ...(isBeat ? followers.links.map(link => ({ kind: 'tell', link, word: beat } as const)) : []),
      ...(isAlive ? links.open.map(link => ({ kind: 'say', link, word: { kind: 'alive' } } as const)) : [])
    ]
  }
}
