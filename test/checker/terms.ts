/** Writes that a replaced primary acknowledged. */

import type { Breach } from './breach.ts'
import type { Call } from './call.ts'
import type { History } from './history.ts'
import type { Ledger } from './ledger.ts'
import { partOf } from './part.ts'

type Placed = Extract<Call, { kind: 'write' | 'commit' }>

const KIND = 'write acknowledged by a replaced primary'

/**
 * A write of an old term is fine while its primary wasn't replaced when it was
 * called, and lies in the log that the next primary took over. A position of a
 * term is taken once.
 */
export function findReplaced (ledger: Ledger): readonly Breach[] {
  const { history } = ledger
  const placed = history.calls
    .filter((call): call is Placed =>
      call.kind !== 'read' && call.outcome === 'done' && call.term !== undefined && call.position !== undefined)
    .filter(call => !isAnsweredAgain(ledger, call))
  return [...findBehind(placed, history.promotions), ...findOvertaken(placed), ...findForks(placed)]
}

/**
 * A later try under an idempotency key is answered with the first outcome and
 * its token, which may be of an older term. Whether it's kept is seen after the run.
 */
function isAnsweredAgain (ledger: Ledger, call: Placed): boolean {
  return call.kind === 'write' && call.once !== undefined && ledger.tries(call.value).some(other => other.from < call.from)
}

function findBehind (placed: readonly Placed[], promotions: History['promotions']): readonly Breach[] {
  return placed.flatMap(call => promotions
    .filter(promotion => promotion.group === call.group && promotion.term > call.term!)
    .filter(promotion => call.from > promotion.at || call.position! > promotion.position)
    .map((promotion): Breach => ({
      kind: KIND,
      part: partOf({ calls: [call], promotions: [promotion] }),
      verdict: call.from > promotion.at
        ? `term ${promotion.term} had begun before the call, and it was acknowledged in term ${call.term}`
        : `position ${call.position} of term ${call.term} isn't in the log that term ${promotion.term} began with`
    })))
}

/** The newest term in the answers so far tells of a promotion that nobody recorded. */
function findOvertaken (placed: readonly Placed[]): readonly Breach[] {
  const newest = new Map<string, Placed>()
  const breaches: Breach[] = []
  const answers = [...placed].sort((a, b) => a.to - b.to)
  const calls = [...placed].sort((a, b) => a.from - b.from)
  let taken = 0
  for (const call of calls) {
    for (; taken < answers.length && answers[taken]!.to <= call.from; taken++) {
      const answer = answers[taken]!
      if (answer.term! > (newest.get(answer.group)?.term ?? 0)) newest.set(answer.group, answer)
    }
    const newer = newest.get(call.group)
    if (newer === undefined || newer.term! <= call.term!) continue
    const verdict = `term ${newer.term} had acknowledged a write before the call, and it was acknowledged in term ${call.term}`
    breaches.push({ kind: KIND, part: partOf({ calls: [newer, call] }), verdict })
  }
  return breaches
}

function findForks (placed: readonly Placed[]): readonly Breach[] {
  const seen = new Map<string, Placed>()
  const breaches: Breach[] = []
  for (const call of placed) {
    const place = `${call.group} ${call.term}:${call.position}`
    const first = seen.get(place)
    if (first === undefined) seen.set(place, call)
    else if (!isSameRequest(first, call)) {
      breaches.push({ kind: KIND, part: partOf({ calls: [first, call] }), verdict: `two writes were acknowledged at ${place}` })
    }
  }
  return breaches
}

/** A try under an idempotency key is answered with the first outcome, token included. */
function isSameRequest (a: Placed, b: Placed): boolean {
  return a.kind === 'write' && b.kind === 'write' && a.value === b.value
}
