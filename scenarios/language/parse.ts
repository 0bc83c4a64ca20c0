/** Reads a script; each line stands by itself. */

import { err, ok, type Result } from 'neverthrow'
import { Cursor } from './cursor.ts'
import type { Script } from './script.ts'
import { ScriptError } from './scripterror.ts'

type Draft = { -readonly [K in keyof Script]: Script[K] }
type Fault = Script['faults'][number]['fault']
type Load = Script['loads'][number]

const PLACE = /^[a-z][a-z0-9-]*$/
const PLACE_REMEDY = 'write a place such as host-2, shop-1, shop-primary, data-centre-a or all'

/** The script, or the first error with its line and column. */
export function parseScript (text: string): Result<Script, ScriptError> {
  const draft: Draft = { title: '', seed: 1, hosts: 7, groups: [], runMs: 12_000, faults: [], loads: [], expectations: [] }
  try {
    text.split('\n').forEach((line, i) => {
      const cursor = Cursor.of(line, i + 1)
      if (cursor.isAtEnd) return
      takeLine(draft, cursor)
      cursor.finish()
    })
  } catch (problem) {
    if (problem instanceof ScriptError) return err(problem)
    throw problem
  }
  const faults = [...draft.faults].sort((a, b) => a.at - b.at)
  return ok({ ...draft, faults, groups: draft.groups.length > 0 ? draft.groups : ['shop'] })
}

function takeLine (draft: Draft, cursor: Cursor): void {
  switch (cursor.oneOf('scenario', 'seed', 'hosts', 'group', 'run', 'at', 'from', 'expect')) {
    case 'scenario':
      draft.title = cursor.rest()
      return
    case 'seed':
      draft.seed = cursor.count()
      return
    case 'hosts':
      draft.hosts = cursor.count()
      return
    case 'group':
      draft.groups = [...draft.groups, cursor.matching(/^[a-z]+$/, 'write a name of small letters')]
      return
    case 'run':
      draft.runMs = cursor.duration()
      return
    case 'at':
      draft.faults = [...draft.faults, { at: cursor.duration(), fault: takeFault(cursor) }]
      return
    case 'from': return takeSpan(draft, cursor)
    case 'expect':
      draft.expectations = [...draft.expectations, takeExpectation(cursor)]
  }
}

function takeSpan (draft: Draft, cursor: Cursor): void {
  const from = cursor.duration()
  cursor.oneOf('to')
  const to = cursor.duration()
  if (to <= from) throw cursor.wrong('the span ends before it begins', 'write the earlier time first')
  if (cursor.oneOf('load', 'store') === 'load') {
    draft.loads = [...draft.loads, takeLoad(cursor, from, to)]
    return
  }
  const over: Fault = { kind: 'store', mode: 'up', ms: 0 }
  draft.faults = [...draft.faults, { at: from, fault: takeStore(cursor) }, { at: to, fault: over }]
}

function takeFault (cursor: Cursor): Fault {
  const kind = cursor.oneOf('cut', 'silence', 'heal', 'kill', 'restart', 'freeze', 'lag', 'store', 'patch')
  switch (kind) {
    case 'cut': return { kind, ...takeSides(cursor, 'from') }
    case 'silence': return { kind, ...takeSides(cursor, 'to') }
    case 'heal': return { kind }
    case 'kill':
    case 'restart':
      if (!cursor.takes('proxy')) cursor.takes('endpoint')
      return { kind, place: takePlace(cursor) }
    case 'freeze': {
      const place = takePlace(cursor)
      cursor.oneOf('for')
      return { kind, place, ms: cursor.duration() }
    }
    case 'lag': return { kind, place: takePlace(cursor), ms: cursor.duration() }
    case 'store': return takeStore(cursor)
    case 'patch': {
      cursor.oneOf('by')
      const operators = cursor.count()
      cursor.oneOf('operators', 'operator')
      return { kind, operators }
    }
  }
}

function takeSides (cursor: Cursor, between: 'from' | 'to'): { readonly some: string, readonly others: string } {
  const some = takePlace(cursor)
  cursor.oneOf(between)
  return { some, others: takePlace(cursor) }
}

function takePlace (cursor: Cursor): string {
  return cursor.matching(PLACE, PLACE_REMEDY)
}

function takeStore (cursor: Cursor): Fault {
  const mode = cursor.oneOf('up', 'down', 'slow', 'losing')
  if (mode === 'losing') cursor.oneOf('answers')
  const ms = mode === 'slow' ? cursor.duration() : 0
  return { kind: 'store', mode: mode === 'losing' ? 'losing answers' : mode, ms }
}

function takeLoad (cursor: Cursor, from: number, to: number): Load {
  const load: { -readonly [K in keyof Load]: Load[K] } = {
    from, to, writes: 0, once: 0, transactions: 0, reads: 0, strict: 0, aged: 0, ageMs: 0, sessions: 10, isRoaming: false
  }
  while (!cursor.isAtEnd) {
    const word = cursor.oneOf('writes', 'once', 'transactions', 'reads', 'strict', 'aged', 'sessions', 'roaming')
    if (word === 'roaming') load.isRoaming = true
    else if (word === 'sessions') load.sessions = cursor.count()
    else load[word] = cursor.rate()
    if (word === 'aged') load.ageMs = cursor.duration()
  }
  return load
}

function takeExpectation (cursor: Cursor): Script['expectations'][number] {
  if (cursor.takes('no')) {
    cursor.oneOf('breach')
    return { figure: 'breaches', operator: '=', value: 0, text: 'no breach' }
  }
  const first = cursor.oneOf('gap', 'replica', 'unknown', 'refused', 'promotions', 'accepted', 'configuration')
  const seconds: Readonly<Record<string, string>> = {
    replica: 'share', unknown: 'share', refused: 'share', accepted: 'patches', configuration: 'delay'
  }
  const second = seconds[first]
  const figure = second === undefined ? first : `${first} ${cursor.oneOf(second)}`
  const operator = cursor.oneOf('<', '>', '=')
  const [value, shown] = takeValue(cursor, figure)
  return { figure, operator, value, text: `${figure} ${operator} ${shown}` }
}

/** A figure's value and how the script says it: times in milliseconds, shares from 0 to 1. */
function takeValue (cursor: Cursor, figure: string): readonly [number, string] {
  if (figure === 'gap' || figure.endsWith('delay')) {
    const ms = cursor.duration()
    return [ms, `${ms / 1000}s`]
  }
  if (!figure.endsWith('share')) {
    const count = cursor.count()
    return [count, `${count}`]
  }
  const text = cursor.matching(/^\d+(\.\d+)?%$/, 'write a share such as 60%')
  return [Number(text.replace('%', '')) / 100, text]
}
