/**
 * The succession of one group: judges its primary, and orders that a replica
 * be promoted when it leaves or nobody reaches it.
 *
 * Safety rests on the platform's fence: each choice of a successor takes the
 * lease anew and with it a higher fence, so an order that is carried out late
 * is shut out by the choice after it. Everything else here keeps healthy
 * primaries from being replaced, which would cost callers a promotion and the
 * commits that no replica has received.
 */

import type { EndpointId } from '../../id/endpoint.ts'
import type { Instant } from '../../id/instant.ts'
import type { EndpointStatus } from '../../statement/endpointstatus.ts'
import { timings } from './timings.ts'
import type { GroupFailoverAction } from './groupfailoveraction.ts'
import type { GroupFailoverEvent } from './groupfailoverevent.ts'
import type { GroupFailoverView } from './groupfailoverview.ts'

type Phase =
  | { readonly kind: 'calm', readonly until: Instant }
  /** The host's turn comes at the instant; others that are first may act before. */
  | { readonly kind: 'waiting', readonly until: Instant }
  | { readonly kind: 'claiming' }
  /** The other hosts may object until the instant. */
  | { readonly kind: 'asking', readonly until: Instant, readonly fence: number }
  /** The store is asked whether an objection was missed. */
  | { readonly kind: 'confirming', readonly fence: number }
  | { readonly kind: 'surveying', readonly fence: number }
  /** Without the lease: whether another host's order made a primary that the directory didn't tell of. */
  | { readonly kind: 'looking', readonly left: number }
  | { readonly kind: 'lookingAgain', readonly left: number, readonly until: Instant }
  | { readonly kind: 'ordering', readonly fence: number, readonly endpoint: EndpointId }
  /** Ordered; the successor leads by the instant, or the matter is begun again. */
  | { readonly kind: 'settling', readonly until: Instant, readonly endpoint: EndpointId }

interface Fields {
  readonly phase: Phase
  readonly old: EndpointId | undefined
  readonly since: Instant
}

interface Step {
  readonly next: GroupFailover
  readonly actions: readonly GroupFailoverAction[]
}

/** The host of the next rank waits so much longer: several times a change in the store and its way to the others. */
const RANK_DELAY_MS = 50
/** Beside the time to ask, a host that reaches the primary has so many times what the claim took to say so: the question's way there, the objection and its way back go through the same store, with one to spare. */
const OBJECTION_CLAIM_FACTOR = 4
/** So long without any primary, and the group is surveyed: a successor's report arrives within a tenth of it. */
const LEADERLESS_TIMEOUT_MS = 1500
/** A promotion takes about a second; twice that, and one that was answered has come to nothing. */
const PROMOTION_TIMEOUT_MS = 2500
/** After a matter that came to nothing: once what stood in its way may have changed. */
const COOLDOWN_MS = 1000
/** Without the lease the endpoints are asked so often who leads, with so long between. */
const MAX_SEARCHES = 4
const SEARCH_INTERVAL_MS = 300
/** An order that was carried out, though its answer was lost, makes a primary of the endpoint in about this time after the wait for the answer. */
const UNANSWERED_ORDER_MS = 500
/** A leaving primary's replicas are asked again after so long; each time costs a change of the lease. */
const CATCH_UP_INTERVAL_MS = 300
/** The platform turned the order away undone; its rate is counted by the second. */
const ORDER_RETRY_MS = 300

/** Immutable; an event yields the next value and what to do. */
export class GroupFailover {
  private constructor (private readonly fields: Fields) {}

  static create (now: Instant): GroupFailover {
    return new GroupFailover({ phase: { kind: 'calm', until: now }, old: undefined, since: now })
  }

  get isIdle (): boolean {
    return this.fields.phase.kind === 'calm'
  }

  step (event: GroupFailoverEvent, view: GroupFailoverView, now: Instant): Step {
    switch (event.kind) {
      case 'tick': return this.tick(view, now)
      case 'claimed': return this.claimed(event, view, now)
      case 'claimLost': return this.searchPrimary(MAX_SEARCHES)
      case 'confirmed': return this.confirmed(event.fence)
      case 'objected': return this.objected(event.fence, now)
      case 'surveyed': return this.surveyed(event.statuses, view, now)
      case 'ordered': return this.ordered(event.outcome, now)
    }
  }

  private tick (view: GroupFailoverView, now: Instant): Step {
    const { phase, old } = this.fields
    // Whoever replaced it: once another endpoint leads, the matter is over.
    if (phase.kind !== 'calm' && view.leader !== undefined && view.leader !== old && !view.isLeaving) return this.rest(now)
    switch (phase.kind) {
      case 'calm': return now >= phase.until && causeOf(view) !== undefined ? this.waitForTurn(view, now) : this.idle
      case 'waiting': return now >= phase.until ? this.claim(view, now) : this.idle
      case 'asking': return now >= phase.until ? this.confirm(phase.fence) : this.idle
      case 'lookingAgain': return now >= phase.until ? this.searchPrimary(phase.left) : this.idle
      case 'settling': return now >= phase.until ? this.rest(now) : this.idle
      default: return this.idle
    }
  }

  private waitForTurn (view: GroupFailoverView, now: Instant): Step {
    return this.to({ kind: 'waiting', until: later(now, view.rank * RANK_DELAY_MS) }, [], { old: view.leader, since: now }).thenTick(view, now)
  }

  /** What was wrong may be over by the host's turn. */
  private claim (view: GroupFailoverView, now: Instant): Step {
    const cause = causeOf(view)
    if (cause === undefined) return this.rest(now)
    if (!view.mayClaim) return this.idle
    const asksFor = cause === 'leaving' || cause === 'nobody' ? undefined : view.leader
    return this.to({ kind: 'claiming' }, [{ kind: 'claim', cause, asksFor }])
  }

  /**
   * Guard against a primary that only this host lost: its link is cut while
   * others reach the primary and callers are served there. It shows as the same
   * misses that a dead primary causes. So the others are asked first, by the
   * lease's row, and one that reaches it objects.
   */
  private claimed ({ fence, tookMs }: Extract<GroupFailoverEvent, { kind: 'claimed' }>, view: GroupFailoverView, now: Instant): Step {
    if (this.fields.phase.kind !== 'claiming') return this.idle
    const cause = causeOf(view)
    if (cause === undefined) return this.rest(now)
    if (cause === 'leaving' || cause === 'nobody') return this.survey(fence, cause === 'leaving')
    return this.to({ kind: 'asking', until: later(now, timings.objectionWaitMs + OBJECTION_CLAIM_FACTOR * tookMs), fence }, [])
  }

  private searchPrimary (left: number): Step {
    return this.to({ kind: 'looking', left: left - 1 }, [{ kind: 'look', old: this.fields.old }])
  }

  /** Another host may be at it: its order takes about a second, which is what the looks cover. */
  private searchAgain (left: number, now: Instant): Step {
    return left > 0 ? this.to({ kind: 'lookingAgain', left, until: later(now, SEARCH_INTERVAL_MS) }, []) : this.rest(now)
  }

  private objected (fence: number, now: Instant): Step {
    const { phase } = this.fields
    const isOpen = phase.kind === 'asking' || phase.kind === 'confirming' || phase.kind === 'surveying'
    return isOpen && phase.fence === fence ? this.rest(now) : this.idle
  }

  /**
   * Guard against an objection that doesn't arrive: the host that asked was
   * frozen meanwhile, or its feed went silent, and it takes the silence for
   * consent. So it reads the objections themselves before it goes on; a host that
   * can't do that orders nothing.
   */
  private confirm (fence: number): Step {
    return this.to({ kind: 'confirming', fence }, [{ kind: 'confirm', fence }])
  }

  private confirmed (fence: number): Step {
    const { phase } = this.fields
    return phase.kind === 'confirming' && phase.fence === fence ? this.survey(fence) : this.idle
  }

  private survey (fence: number, isHandover = false): Step {
    return this.to({ kind: 'surveying', fence }, [{ kind: 'survey', old: this.fields.old, isHandover }])
  }

  /**
   * Guard against a host that is cut off from the store: it finds the primary
   * dead like the others, but neither gets the lease nor hears of the successor,
   * and refuses writes for as long as the cut lasts. The endpoints themselves
   * tell it who leads.
   *
   * Guard also against a planned replacement that drops commits: the replicas
   * receive nothing for a while, and a promotion takes only what was received.
   * The old primary still serves, so its successor gets time to catch up.
   */
  private surveyed (statuses: ReadonlyMap<EndpointId, EndpointStatus>, view: GroupFailoverView, now: Instant): Step {
    const { phase, old, since } = this.fields
    if (phase.kind !== 'surveying' && phase.kind !== 'looking') return this.idle
    const leading = [...statuses].find(([id, { isPrimary }]) => isPrimary && id !== old)
    if (leading !== undefined) return this.rest(now, [{ kind: 'found', endpoint: leading[0], term: leading[1].term }])
    if (phase.kind === 'looking') return this.searchAgain(phase.left, now)
    const endpoint = longestLog(statuses, old, view)
    if (endpoint === undefined || !view.isLeaseHolder) return this.rest(now, [{ kind: 'giveUp' }])
    const leaver = old === undefined ? undefined : statuses.get(old)
    const isBehind = leaver?.received.isAfter(statuses.get(endpoint)!.received) === true
    if (isBehind && now - since < view.catchUpMs) return this.to({ kind: 'waiting', until: later(now, CATCH_UP_INTERVAL_MS) }, [])
    const handsOver = leaver?.isPrimary === true ? old : undefined
    return this.to({ kind: 'ordering', fence: phase.fence, endpoint }, [{ kind: 'promote', endpoint, fence: phase.fence, handoverFrom: handsOver }])
  }

  /**
   * After a refusal the matter is dropped: a higher fence was seen, so another
   * host acts, or the chosen endpoint doesn't run.
   *
   * Guard against writes that are refused for as long as an order takes that
   * was lost, or is carried out seconds late: it shows by an order without an
   * answer. It's given again soon. The logs stand still without a primary, so the
   * same endpoint is chosen, which takes no harm from two orders; and the later one has the higher fence.
   */
  private ordered (outcome: 'done' | 'refused' | 'notDone' | 'unknown', now: Instant): Step {
    const { phase } = this.fields
    if (phase.kind !== 'ordering') return this.idle
    if (outcome === 'refused') return this.rest(now, [{ kind: 'giveUp' }])
    if (outcome === 'notDone') return this.to({ kind: 'waiting', until: later(now, ORDER_RETRY_MS) }, [])
    if (outcome === 'unknown') return this.to({ kind: 'waiting', until: later(now, UNANSWERED_ORDER_MS) }, [])
    return this.to({ kind: 'settling', until: later(now, PROMOTION_TIMEOUT_MS), endpoint: phase.endpoint }, [])
  }

  private rest (now: Instant, actions: readonly GroupFailoverAction[] = []): Step {
    return this.to({ kind: 'calm', until: later(now, COOLDOWN_MS) }, actions)
  }

  private get idle (): Step {
    return { next: this, actions: [] }
  }

  private to (phase: Phase, actions: readonly GroupFailoverAction[], change: Partial<Fields> = {}): Step & { thenTick: (view: GroupFailoverView, now: Instant) => Step } {
    const next = new GroupFailover({ ...this.fields, ...change, phase })
    return { next, actions, thenTick: (view, now) => next.tick(view, now) }
  }
}

/** Why the group needs another primary; undefined when it doesn't. */
function causeOf ({ leader, isLeaving, isListed, isFailing, leaderlessMs }: GroupFailoverView): 'leaving' | 'gone' | 'unreached' | 'nobody' | undefined {
  if (leader === undefined) return leaderlessMs >= LEADERLESS_TIMEOUT_MS ? 'nobody' : undefined
  if (isLeaving) return 'leaving'
  if (!isFailing) return undefined
  return isListed ? 'unreached' : 'gone'
}

/** The replica with the longest log: the others would be cut back to what it has. One that leaves is the last choice. */
function longestLog (statuses: ReadonlyMap<EndpointId, EndpointStatus>, old: EndpointId | undefined, view: GroupFailoverView): EndpointId | undefined {
  const candidates = [...statuses].filter(([id]) => id !== old)
  const staying = candidates.filter(([id]) => !view.leaving.has(id))
  const [first, ...rest] = staying.length > 0 ? staying : candidates
  if (first === undefined) return undefined
  return rest.reduce((best, one) => one[1].received.isAfter(best[1].received) ? one : best, first)[0]
}

function later (now: Instant, ms: number): Instant {
  return now + ms as Instant
}
