/** The figures of a run, by the names that scripts use. */

import { checkHistory } from '../../test/checker/checker.ts'
import { explanationOf } from '../../test/checker/explanation.ts'
import type { Script } from '../language/script.ts'
import type { Recorder } from './recorder.ts'
import type { World } from './world.ts'

interface Report {
  readonly figures: Readonly<Record<string, number>>
  readonly calls: number
  /** The shortest breach of each kind, in sentences. */
  readonly breaches: readonly string[]
  /** The expectations that don't hold, with the figure as measured. */
  readonly failures: readonly string[]
  readonly trace: string
}

export function reportOf (script: Script, world: World, isSettled: boolean): Report {
  const { recorder } = world
  const found = checkHistory(recorder.history)
  const figures: Record<string, number> = {
    breaches: found.reduce((sum, one) => sum + one.count, 0),
    gap: Math.max(...script.groups.map(group => gapOf(script, recorder, group))),
    'replica share': shareOf(recorder.served, place => place === 'replica'),
    'unknown share': shareOf(recorder.calls, call => call.outcome === 'unknown'),
    'refused share': shareOf(recorder.calls, call => call.outcome === 'notRun' || call.outcome === 'failed'),
    promotions: recorder.promotions.length - script.groups.length,
    'accepted patches': recorder.accepted.length,
    'configuration delay': delayOf(world)
  }
  const failures = script.expectations
    .filter(({ figure, operator, value }) => !holds(figures[figure]!, operator, value))
    .map(({ figure, text }) => `expected ${text}, measured ${show(figure, figures[figure]!)}`)
  if (!isSettled) failures.push('expected an answer to every final read, and some had none')
  const breaches = found.map(one => explanationOf(one.breach).join('\n') + `\n  (${one.count} of this kind)`)
  return { figures, calls: recorder.calls.length, breaches, failures, trace: recorder.trace }
}

function holds (figure: number, operator: '<' | '>' | '=', value: number): boolean {
  switch (operator) {
    case '<': return figure < value
    case '>': return figure > value
    case '=': return figure === value
  }
}

function show (figure: string, value: number): string {
  if (figure.endsWith('share')) return `${(value * 100).toFixed(1)}%`
  return figure === 'gap' || figure.endsWith('delay') ? `${(value / 1000).toFixed(3)}s` : `${value}`
}

function shareOf<T> (some: readonly T[], is: (one: T) => boolean): number {
  return some.length === 0 ? 0 : some.filter(is).length / some.length
}

/** The longest time without an acknowledged write while the load asked for writes. */
function gapOf (script: Script, { calls }: Recorder, group: string): number {
  const spans = script.loads.filter(load => load.writes > 0 || load.once > 0)
  return Math.max(0, ...spans.map(({ from, to }) => {
    const ends = calls
      .filter(call => call.group === group && call.kind === 'write' && call.transaction === undefined && call.outcome === 'done')
      .map(call => call.to)
      .filter(at => at > from && at < to)
      .sort((a, b) => a - b)
    const points = [from, ...ends, to]
    return Math.max(...points.slice(1).map((at, i) => at - points[i]!))
  }))
}

/** The longest time from an accepted patch until every host that is up had it or a later one. */
function delayOf (world: World): number {
  const { accepted, versions } = world.recorder
  return Math.max(0, ...accepted.map(({ version, at }) => Math.max(...world.live.map(({ id }) => {
    const seen = versions.find(one => one.host === id && one.version >= version)
    return seen === undefined ? Infinity : seen.at - at
  }))))
}
