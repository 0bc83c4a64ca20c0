/** Where the logs of two fake endpoints part. */

import type { TermHistory } from '../../src/core/termhistory.ts'

type Starts = TermHistory['starts']

/** The last position up to which both logs are the same: where either began a term that the other lacks. */
export function forkOf (own: Starts, other: Starts, length: number): number {
  const forks = [...own.filter(start => lacks(other, start)), ...other.filter(start => lacks(own, start))]
  return Math.min(length, ...forks.map(start => start.position))
}

function lacks (some: Starts, start: Starts[number]): boolean {
  return !some.some(other => other.term === start.term && other.position === start.position)
}
