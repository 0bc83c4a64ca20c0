/** A bar chart of burn rates over time, as inline SVG. Its colours are CSS variables of the page, for light and dark mode. */

import { escapeText } from './escape.ts'

interface Options {
  readonly title: string
  /** Burn rate of each step, oldest first; null without data. */
  readonly burns: ReadonlyArray<number | null>
  /** The label of a step, by the time at which it began. */
  readonly labelOf: (step: number) => string
}

const WIDTH = 620
const HEIGHT = 170
const MARGIN_LEFT = 44
const MARGIN_TOP = 26
const MARGIN_BOTTOM = 24
const MARGIN_RIGHT = 8
const TICKS = 4
/** Above this maximum the scale is by square roots, so that a spike leaves the line at 1 visible. */
const MAX_LINEAR_TOP = 10
/** The smallest maximum of the scale, so that the line at 1 is always inside of the chart. */
const MIN_SCALE_TOP = 2
const MIN_BAR_HEIGHT = 1.5

const plotWidth = WIDTH - MARGIN_LEFT - MARGIN_RIGHT
const plotHeight = HEIGHT - MARGIN_TOP - MARGIN_BOTTOM

export function burnChart ({ title, burns, labelOf }: Options): string {
  const top = roundScaleTop(Math.max(MIN_SCALE_TOP, ...burns.map(burn => burn ?? 0)))
  const isLinear = top <= MAX_LINEAR_TOP
  const y = (burn: number): number => MARGIN_TOP + plotHeight * (1 - (isLinear ? burn / top : Math.sqrt(burn / top)))
  const ticks = isLinear ? Array.from({ length: TICKS + 1 }, (_, i) => top * i / TICKS) : [1, top / 4, top]
  const step = plotWidth / burns.length
  const bars = burns.map((burn, i) => bar(burn, `${labelOf(i)}: ${burnText(burn)}`, MARGIN_LEFT + i * step, step, y))
  const hasData = burns.some(burn => burn !== null)
  return [
    `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img" aria-label="${escapeText(title)}">`,
    `<text class="chart-title" x="${MARGIN_LEFT}" y="14">${escapeText(title)}${isLinear ? '' : ' (square-root scale)'}</text>`,
    `<text class="limit-label" x="${WIDTH - MARGIN_RIGHT}" y="14" text-anchor="end">dashed: burn 1</text>`,
    ...ticks.map(burn => gridLine(burn, y(burn))),
    ...bars,
    `<line class="limit" x1="${MARGIN_LEFT}" x2="${WIDTH - MARGIN_RIGHT}" y1="${formatCoordinate(y(1))}" y2="${formatCoordinate(y(1))}"/>`,
    ...timeLabels(burns.length, labelOf, step),
    hasData ? '' : `<text class="none" x="${MARGIN_LEFT + plotWidth / 2}" y="${MARGIN_TOP + plotHeight / 2 + 18}" text-anchor="middle">no data</text>`,
    '</svg>'
  ].join('')
}

function bar (burn: number | null, title: string, x: number, step: number, y: (burn: number) => number): string {
  const width = formatCoordinate(step - 1)
  const tip = `<title>${escapeText(title)}</title>`
  // A step without data gets a pale stripe at the bottom, to tell it from a burn rate of 0.
  if (burn === null) return `<rect class="no-data" x="${formatCoordinate(x)}" y="${formatCoordinate(y(0) - 3)}" width="${width}" height="3">${tip}</rect>`
  const height = Math.max(MIN_BAR_HEIGHT, y(0) - y(burn))
  return `<rect class="${burn > 1 ? 'over' : 'within'}" x="${formatCoordinate(x)}" y="${formatCoordinate(y(0) - height)}" width="${width}" height="${formatCoordinate(height)}">${tip}</rect>`
}

function gridLine (burn: number, at: number): string {
  return `<line class="grid" x1="${MARGIN_LEFT}" x2="${WIDTH - MARGIN_RIGHT}" y1="${formatCoordinate(at)}" y2="${formatCoordinate(at)}"/>` +
    `<text class="tick" x="${MARGIN_LEFT - 6}" y="${formatCoordinate(at + 4)}" text-anchor="end">${Number(burn.toFixed(2))}</text>`
}

function timeLabels (steps: number, labelOf: (step: number) => string, step: number): string[] {
  const marks = [0, 1, 2].map(third => Math.floor(steps * third / 3))
  return [...marks.map(i => `<text class="tick" x="${formatCoordinate(MARGIN_LEFT + i * step)}" y="${HEIGHT - 8}">${escapeText(labelOf(i))}</text>`),
    `<text class="tick" x="${WIDTH - MARGIN_RIGHT}" y="${HEIGHT - 8}" text-anchor="end">now</text>`]
}

/** The next of 1, 2, 4, 10, 20, 40, ..., so that the ticks are round numbers. */
function roundScaleTop (most: number): number {
  const power = 10 ** Math.floor(Math.log10(most))
  return [1, 2, 4, 10].map(factor => factor * power).find(top => top >= most)!
}

function burnText (burn: number | null): string {
  return burn === null ? 'no data' : `burn ${burn.toFixed(2)}`
}

function formatCoordinate (number: number): string {
  return String(Math.round(number * 10) / 10)
}
