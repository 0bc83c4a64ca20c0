/**
 * The error budget: a target of 99.9% allows 0.1% of the requests to be bad. A
 * burn rate of 1 spends the budget exactly over the whole period, a burn rate
 * of 10 in a tenth of it.
 */

interface Count {
  readonly events: number
  readonly bad: number
}

interface Budget {
  readonly events: number
  readonly bad: number
  /** The burn rate: the share of bad requests divided by the share that the target allows. Absent without data. */
  readonly burn?: number
  /** The burn rate if every dropped record were a bad request of this level. */
  readonly burnAtMost?: number
  /** The share of the budget that would be left if the period were this window; negative when it's overspent. */
  readonly left?: number
}

export function budgetOf ({ events, bad }: Count, target: number, dropped: number): Budget {
  const allowed = 1 - target
  const atMost = dropped === 0 ? {} : { burnAtMost: (bad + dropped) / (events + dropped) / allowed }
  if (events === 0) return { events, bad, ...atMost }
  const burn = bad / events / allowed
  return { events, bad, burn, left: 1 - burn, ...atMost }
}
