/**
 * The error budget: a target of 99.9% lets 0.1% of the requests be bad. A
 * burn of 1 spends the budget exactly over the whole period, a burn of 10 in
 * a tenth of it.
 */

interface Count {
  readonly events: number
  readonly bad: number
}

interface Budget {
  readonly events: number
  readonly bad: number
  /** The share of bad requests over the share that the target allows. Absent without data: that's not a kept promise. */
  readonly burn?: number
  /** The same, had every dropped record been of a bad request of this level. */
  readonly burnAtMost?: number
  /** What is left of the budget, had the period been this window; below 0 when it's overspent. */
  readonly left?: number
}

export function budgetOf ({ events, bad }: Count, target: number, dropped: number): Budget {
  const allowed = 1 - target
  const atMost = dropped === 0 ? {} : { burnAtMost: (bad + dropped) / (events + dropped) / allowed }
  if (events === 0) return { events, bad, ...atMost }
  const burn = bad / events / allowed
  return { events, bad, burn, left: 1 - burn, ...atMost }
}
