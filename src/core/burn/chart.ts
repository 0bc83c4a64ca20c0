/** A bar chart of burn over time, as inline SVG. Its colours are variables of the page, so that it's readable in light and dark. */

import { escapeText } from './escape.ts'

interface Options {
  readonly title: string
  /** Burn of each step, oldest first; null without data. */
  readonly burns: ReadonlyArray<number | null>
  /** When a step began, as people read it. */
  readonly labelOf: (step: number) => string
}

const WIDTH = 620
const HEIGHT = 170
const LEFT = 44
const TOP = 26
const BOTTOM = 24
const RIGHT = 8
const TICKS = 4
/** Above this the scale is by square roots, so that a spike leaves the line at 1 in sight. */
const LINEAR_TOP = 10
/** A budget that isn't touched still needs a scale that shows where 1 is. */
const LEAST_TOP = 2
const LEAST_BAR = 1.5

const plotWidth = WIDTH - LEFT - RIGHT
const plotHeight = HEIGHT - TOP - BOTTOM

export function burnChart ({ title, burns, labelOf }: Options): string {
  const top = niceTop(Math.max(LEAST_TOP, ...burns.map(burn => burn ?? 0)))
  const isLinear = top <= LINEAR_TOP
  const y = (burn: number): number => TOP + plotHeight * (1 - (isLinear ? burn / top : Math.sqrt(burn / top)))
  const ticks = isLinear ? Array.from({ length: TICKS + 1 }, (_, i) => top * i / TICKS) : [1, top / 4, top]
  const step = plotWidth / burns.length
  const bars = burns.map((burn, i) => bar(burn, `${labelOf(i)}: ${words(burn)}`, LEFT + i * step, step, y))
  const hasData = burns.some(burn => burn !== null)
  return [
    `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img" aria-label="${escapeText(title)}">`,
    `<text class="chart-title" x="${LEFT}" y="14">${escapeText(title)}${isLinear ? '' : ' (square-root scale)'}</text>`,
    `<text class="limit-label" x="${WIDTH - RIGHT}" y="14" text-anchor="end">dashed: burn 1</text>`,
    ...ticks.map(burn => gridLine(burn, y(burn))),
    ...bars,
    `<line class="limit" x1="${LEFT}" x2="${WIDTH - RIGHT}" y1="${fixed(y(1))}" y2="${fixed(y(1))}"/>`,
    ...timeLabels(burns.length, labelOf, step),
    hasData ? '' : `<text class="none" x="${LEFT + plotWidth / 2}" y="${TOP + plotHeight / 2 + 18}" text-anchor="middle">no data</text>`,
    '</svg>'
  ].join('')
}

function bar (burn: number | null, title: string, x: number, step: number, y: (burn: number) => number): string {
  const width = fixed(step - 1)
  const tip = `<title>${escapeText(title)}</title>`
  // A step without data gets a pale stripe at the foot, so that it doesn't look like a burn of 0.
  if (burn === null) return `<rect class="no-data" x="${fixed(x)}" y="${fixed(y(0) - 3)}" width="${width}" height="3">${tip}</rect>`
  const height = Math.max(LEAST_BAR, y(0) - y(burn))
  return `<rect class="${burn > 1 ? 'over' : 'within'}" x="${fixed(x)}" y="${fixed(y(0) - height)}" width="${width}" height="${fixed(height)}">${tip}</rect>`
}

function gridLine (burn: number, at: number): string {
  return `<line class="grid" x1="${LEFT}" x2="${WIDTH - RIGHT}" y1="${fixed(at)}" y2="${fixed(at)}"/>` +
    `<text class="tick" x="${LEFT - 6}" y="${fixed(at + 4)}" text-anchor="end">${Number(burn.toFixed(2))}</text>`
}

function timeLabels (steps: number, labelOf: (step: number) => string, step: number): string[] {
  const marks = [0, 1, 2].map(third => Math.floor(steps * third / 3))
  return [...marks.map(i => `<text class="tick" x="${fixed(LEFT + i * step)}" y="${HEIGHT - 8}">${escapeText(labelOf(i))}</text>`),
    `<text class="tick" x="${WIDTH - RIGHT}" y="${HEIGHT - 8}" text-anchor="end">now</text>`]
}

/** The next of 1, 2, 4, 10, 20, 40, ..., so that the ticks are round. */
function niceTop (most: number): number {
  const power = 10 ** Math.floor(Math.log10(most))
  return [1, 2, 4, 10].map(factor => factor * power).find(top => top >= most)!
}

function words (burn: number | null): string {
  return burn === null ? 'no data' : `burn ${burn.toFixed(2)}`
}

function fixed (number: number): string {
  return String(Math.round(number * 10) / 10)
}
