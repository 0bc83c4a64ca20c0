/** One self-contained page of what callers got: a table, and a plot of each load over time. */

import type { Outcomes } from './outcomes.ts'

interface Row {
  readonly load: string
  readonly policy: string
  /** One of each seed. */
  readonly runs: readonly Outcomes[]
}

const WIDTH = 640
const HEIGHT = 160
const WINDOW_S = 2
const DIGITS = 3
const COLOURS = ['#1b6ca8', '#c0392b', '#27ae60', '#8e44ad', '#d68910', '#566573', '#148f77']

export function pageOf (rows: readonly Row[]): string {
  const names = [...new Set(rows.map(({ load }) => load))]
  const sections = names.map(name => section(name, rows.filter(({ load }) => load === name)))
  return `<!doctype html><meta charset="utf-8"><title>Decisions of a group</title>
<style>body{font:14px sans-serif;margin:2em;max-width:60em}td,th{padding:2px 10px;text-align:right}td:first-child,th:first-child{text-align:left}</style>
<h1>What callers get</h1><p>Shares of operations that were done within their aim; lines are windows of ${WINDOW_S} s, means of the seeds.</p>${sections.join('')}`
}

function section (name: string, rows: readonly Row[]): string {
  const body = rows.map(({ policy, runs }, i) => {
    const all = (pick: (one: Outcomes) => number) => mean(runs.map(pick))
    const counts = (['late', 'refused', 'failed'] as const).map(key => all(({ all: it }) => it[key]).toFixed(0))
    const cells = [all(one => one.inAim).toFixed(DIGITS), all(one => one.worst).toFixed(DIGITS), ...counts, all(({ hopeless }) => hopeless).toFixed(0)]
    return `<tr><td style="color:${COLOURS[i % COLOURS.length]}">${policy}</td>${cells.map(cell => `<td>${cell}</td>`).join('')}</tr>`
  })
  const head = ['policy', 'in aim', 'worst two windows', 'late', 'refused', 'failed', 'never had a connection'].map(one => `<th>${one}</th>`).join('')
  return `<h2>${name}</h2>${plot(rows)}<table><tr>${head}</tr>${body.join('')}</table>`
}

function plot (rows: readonly Row[]): string {
  const lines = rows.map(({ runs }, i) => {
    const length = Math.min(...runs.map(({ windows }) => windows.length))
    const points = Array.from({ length }, (_, at) => {
      const share = mean(runs.map(({ windows }) => windows[at]!))
      return `${(at * WIDTH / (length - 1)).toFixed(1)},${((1 - share) * HEIGHT).toFixed(1)}`
    })
    return `<polyline fill="none" stroke="${COLOURS[i % COLOURS.length]}" stroke-width="2" points="${points.join(' ')}"/>`
  })
  return `<svg width="${WIDTH}" height="${HEIGHT}" style="border:1px solid #ccc">${lines.join('')}</svg>`
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}
