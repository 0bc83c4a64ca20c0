/** Where every host has connections of its own: what can't be served now is refused now. */

import { newsMs } from './news.ts'
import type { Patience } from './patience.ts'
import type { Step } from './step.ts'

/** Each of three endpoints, and the primary once more. */
const MOST_TRIES = 4
/** The time to come back while nobody leads: about a round of finding the new primary. */
const LEADERLESS_MS = 500

export class Prompt implements Patience {
  private constructor () {}

  static create (): Prompt {
    return new Prompt()
  }

  mostTries (): number {
    return MOST_TRIES
  }

  forLeader ({ missingMs }: Parameters<Patience['forLeader']>[0]): Step {
    const ms = newsMs(missingMs)
    return ms > 0 ? { kind: 'wait', ms, isAnew: false } : { kind: 'refuse', cause: 'noLeader', retryAfterMs: LEADERLESS_MS }
  }

  forRoom (): Step {
    return { kind: 'go' }
  }

  forReach (): Step {
    return { kind: 'refuse', cause: 'unreachable', retryAfterMs: LEADERLESS_MS }
  }

  forBudget (): Step {
    return { kind: 'refuse', cause: 'budget', retryAfterMs: LEADERLESS_MS }
  }

  isCutOff ({ what }: Parameters<Patience['isCutOff']>[0]): boolean {
    return what === 'read'
  }

  isDropped (): boolean {
    return false
  }
}
