/**
 * Checks the promises of the brief on what callers saw.
 *
 * Every write appends a value of its own to a list, after the list-append
 * workload of Elle (Kingsbury and Alvaro, 2020): a list shows which requests
 * ran and how often, so no search over possible orders is needed. Each check
 * reports only what no correct system could have answered; a call in doubt may
 * have run or not.
 */

import { findBadAnswers } from './answers.ts'
import { findExceeded } from './allowances.ts'
import type { Breach } from './breach.ts'
import { findEffects } from './effects.ts'
import type { History } from './history.ts'
import { findKeyless } from './keys.ts'
import { Ledger } from './ledger.ts'
import { findStaleness } from './staleness.ts'
import { findReplaced } from './terms.ts'
import { findMixed } from './transactions.ts'
import { findReverted } from './versions.ts'

const CHECKS = [findBadAnswers, findEffects, findExceeded, findKeyless, findMixed, findReplaced, findReverted, findStaleness]

/** The breaches of a history: of each kind the one with the shortest story, and how many there are. */
export function checkHistory (history: History): readonly { readonly breach: Breach, readonly count: number }[] {
  const ledger = Ledger.of(history)
  const all = CHECKS.flatMap(check => check(ledger))
  const kinds = [...new Set(all.map(breach => breach.kind))]
  return kinds.map(kind => {
    const same = all.filter(breach => breach.kind === kind)
    return { breach: same.reduce((best, breach) => isShorter(breach, best) ? breach : best), count: same.length }
  })
}

function isShorter (a: Breach, b: Breach): boolean {
  return sizeOf(a) < sizeOf(b) || (sizeOf(a) === sizeOf(b) && spanOf(a) < spanOf(b))
}

function sizeOf ({ part }: Breach): number {
  return part.calls.length + part.promotions.length + part.versions.length
}

function spanOf ({ part }: Breach): number {
  const times = [...part.calls.flatMap(call => [call.from, call.to]), ...part.promotions.map(one => one.at), ...part.versions.map(one => one.at)]
  return Math.max(...times) - Math.min(...times)
}
