/**
 * State machine for the failover of one group: promotes a replica when the primary leaves or no host reaches it.
 *
 * Safety rests on the platform's fencing: each promotion attempt claims the lease again and gets a higher fence, so the platform
 * rejects an order that arrives after a newer one. The other checks keep a healthy primary from being replaced, which would
 * interrupt writes and lose the commits that no replica has received.
 */

import type { EndpointId } from '../../id/endpoint.ts'
import type { Instant } from '../../id/instant.ts'
import type { EndpointStatus } from '../../statement/endpointstatus.ts'
import type { CommitHolders } from './commitholders.ts'
import type { FailoverCause } from './failovercause.ts'
import { Handover } from './handover.ts'
import { timings } from './timings.ts'
import type { GroupFailoverAction } from './groupfailoveraction.ts'
import type { GroupFailoverEvent } from './groupfailoverevent.ts'
import type { GroupFailoverView } from './groupfailoverview.ts'

interface HandingOver {
  readonly kind: 'handingOver'
  readonly fence: number
  readonly endpoint: EndpointId
  /** When every host in touch has heard of the announcement, and the comparison that counts may begin; undefined before it was made. */
  readonly heardAt: Instant | undefined
}

type Phase =
  | { readonly kind: 'idle', readonly until: Instant }
  /** Waits until this host may claim the lease; hosts of a lower rank may claim it before. */
  | { readonly kind: 'waiting', readonly until: Instant }
  | { readonly kind: 'claiming' }
  /** Other hosts may object until the instant. */
  | { readonly kind: 'awaitingObjections', readonly until: Instant, readonly fence: number }
  /** Reads the objections from the store. */
  | { readonly kind: 'confirming', readonly fence: number }
  | { readonly kind: 'surveying', readonly fence: number, readonly isHandover: boolean }
  /** Without the lease: asks the endpoints whether another host has promoted one of them. `left`: remaining searches. */
  | { readonly kind: 'searching', readonly left: number }
  | { readonly kind: 'searchPaused', readonly left: number, readonly until: Instant }
  /** The handover is being announced, or the successor's log compared with that of the old primary. */
  | HandingOver
  /** Waits until all hosts have heard of the announcement, or the successor has received more. */
  | { readonly kind: 'catchingUp', readonly until: Instant, readonly comparison: HandingOver }
  | { readonly kind: 'ordering', readonly fence: number, readonly endpoint: EndpointId }
  /** The promotion was ordered; if the successor doesn't lead by the instant, the failover starts again. */
  | { readonly kind: 'settling', readonly until: Instant, readonly endpoint: EndpointId }

interface Fields {
  readonly phase: Phase
  /** The primary that the failover replaces; undefined when none was known. */
  readonly old: EndpointId | undefined
  /** When the failover began. */
  readonly since: Instant
  /** Surveys of this failover in which an endpoint was missing that may hold acknowledged commits. */
  readonly incompleteSurveys: number
  /** Whether this host got the lease; this failover, or that of the holder before, may have stopped the replicas. */
  readonly hasClaimed: boolean
  /** The endpoint that the last order named, if the order had no answer and may still be carried out. */
  readonly unansweredOrder: EndpointId | undefined
  /** The endpoints as they were listed when the replicas were last stopped; undefined if they weren't. */
  readonly stopped: CommitHolders | undefined
}

interface Step {
  readonly next: GroupFailover
  readonly actions: readonly GroupFailoverAction[]
}

/** Added wait for each rank: several times the delay with which a change in the store reaches the other hosts. */
const RANK_DELAY_MS = 50
/** Added to the objection time, in durations of the claim: the request, the objection and its delivery all pass through the store, plus one for slack. */
const OBJECTION_CLAIM_FACTOR = 4
/** A group without a known primary is surveyed after this time; a new primary normally reports itself within a tenth of it. */
const LEADERLESS_TIMEOUT_MS = 1500
/** A promotion takes about a second. After this time one that the platform accepted counts as failed. */
const PROMOTION_TIMEOUT_MS = 2500
/** Pause after a failover that ended, with or without a promotion. */
const COOLDOWN_MS = 1000
/** Searches for a promoted primary without the lease, and the pause between them. Together they cover the time of a promotion. */
const MAX_SEARCHES = 4
const SEARCH_INTERVAL_MS = 300
/** Wait after a promotion whose answer was lost: if it was carried out, the endpoint leads by then. */
const UNANSWERED_ORDER_MS = 500
/** Interval between surveys while a leaving primary's replicas catch up; each one claims the lease again. */
const CATCH_UP_INTERVAL_MS = 300
/** Time in which hosts that are in touch hear of an announcement: several times the delay with which a change in the store reaches them. */
const ANNOUNCEMENT_MS = 500
/** Interval between comparisons of an announced successor's log with the old primary's. */
const COMPARE_INTERVAL_MS = 50
/** Surveys of one failover that may be incomplete, and the pause between them. Then another host tries, which may reach more endpoints. */
const MAX_INCOMPLETE_SURVEYS = 3
const SURVEY_RETRY_MS = 300
/** Wait after the platform rejected a promotion without carrying it out; it limits promotions per second. */
const ORDER_RETRY_MS = 300

/** Immutable; `step` returns the next state and the actions to carry out. */
export class GroupFailover {
  private constructor (private readonly fields: Fields) {}

  static create (now: Instant): GroupFailover {
    return new GroupFailover({ phase: { kind: 'idle', until: now }, old: undefined, since: now, incompleteSurveys: 0, hasClaimed: false, unansweredOrder: undefined, stopped: undefined })
  }

  get isIdle (): boolean {
    return this.fields.phase.kind === 'idle'
  }

  step (event: GroupFailoverEvent, view: GroupFailoverView, now: Instant): Step {
    switch (event.kind) {
      case 'tick': return this.tick(view, now)
      case 'claimed': return this.claimed(event, view, now)
      case 'claimLost': return this.claimLost(view, now)
      case 'confirmed': return this.confirmed(event.fence, view, now)
      case 'objected': return this.objected(event.fence, now)
      case 'surveyed': return this.surveyed(event.statuses, view, now)
      case 'compared': return this.compared(event.statuses, view, now)
      case 'ordered': return this.ordered(event.outcome, now)
    }
  }

  private tick (view: GroupFailoverView, now: Instant): Step {
    const { phase, old } = this.fields
    // Another endpoint leads, so the failover is over, whichever host ordered the promotion.
    if (phase.kind !== 'idle' && view.leader !== undefined && view.leader !== old && !view.isLeaving) return this.rest(now)
    const unstopped = this.unstopped(view)
    if (unstopped.length > 0) return this.to(phase, [{ kind: 'stop', endpoints: unstopped }], { stopped: view.commitHolders })
    switch (phase.kind) {
      case 'idle': return now >= phase.until && this.causeFor(view) !== undefined ? this.waitForTurn(view, now) : this.idle
      case 'waiting': return now >= phase.until ? this.claim(view, now) : this.idle
      case 'awaitingObjections': return now >= phase.until ? this.confirm(phase.fence, view, now) : this.idle
      case 'searchPaused': return now >= phase.until ? this.searchPrimary(phase.left) : this.idle
      case 'catchingUp': return now >= phase.until ? this.compare(phase.comparison) : this.idle
      case 'settling': return now >= phase.until ? this.rest(now) : this.idle
      default: return this.idle
    }
  }

  /**
   * Replicas that could receive although a promotion is under way: they have started or were listed after the survey, and a restart ends
   * a stop. Hosts that know of the handover ask for the successor's receipt anyway; this covers those that haven't heard of it yet.
   */
  private unstopped ({ commitHolders }: GroupFailoverView): readonly EndpointId[] {
    const { phase, old, stopped, unansweredOrder } = this.fields
    const { endpoint: successor = unansweredOrder } = phase.kind === 'catchingUp' ? phase.comparison : 'endpoint' in phase ? phase : {}
    if (stopped === undefined || successor === undefined) return []
    return commitHolders?.listedSince(stopped).filter(id => id !== old && id !== successor) ?? []
  }

  private waitForTurn (view: GroupFailoverView, now: Instant): Step {
    return this.to({ kind: 'waiting', until: later(now, view.rank * RANK_DELAY_MS) }, [], { old: view.leader, since: now, incompleteSurveys: 0 }).thenTick(view, now)
  }

  /** Checks again whether a new primary is needed, since the cause may have gone while this host waited. */
  private claim (view: GroupFailoverView, now: Instant): Step {
    const cause = this.causeFor(view)
    if (cause === undefined) return this.rest(now)
    if (!view.mayClaim) return this.idle
    const asksFor = cause === 'gone' || cause === 'unreached' ? view.leader : undefined
    return this.to({ kind: 'claiming' }, [{ kind: 'claim', cause, asksFor }])
  }

  /**
   * Asks the other hosts, through the lease's row, whether they reach the primary. A network fault between this host and the
   * primary looks like a dead primary, so one host that still reaches it vetoes the promotion.
   */
  private claimed ({ fence, tookMs }: Extract<GroupFailoverEvent, { kind: 'claimed' }>, view: GroupFailoverView, now: Instant): Step {
    if (this.fields.phase.kind !== 'claiming') return this.idle
    const cause = this.causeFor(view)
    // A host that waited long for the lease gives a leaving primary's replicas as much time to catch up as the first one did.
    const isTakeover = view.commitHolders !== undefined && !this.fields.hasClaimed
    const holder = new GroupFailover({ ...this.fields, hasClaimed: true, since: isTakeover ? now : this.fields.since })
    if (cause === undefined) return holder.rest(now)
    const successor = this.unansweredOrder(view)
    if (successor !== undefined) return holder.order(fence, successor, holder.handover(successor, [], view), false)
    if (cause === 'abandoned') return holder.rest(now)
    if (cause === 'nobody') return holder.survey(fence, view)
    if (cause === 'leaving' || cause === 'unfinished') return holder.survey(fence, view, true)
    return holder.to({ kind: 'awaitingObjections', until: later(now, timings.objectionWaitMs + OBJECTION_CLAIM_FACTOR * tookMs), fence }, [])
  }

  /**
   * Where commits wait for a replica, a promotion whose order had no answer is carried through, even if its cause is gone: the order may
   * still be carried out, and would lose the commits that another replica acknowledges meanwhile. The replicas stay stopped, so the
   * endpoint that the order named is still the right one.
   */
  private unansweredOrder ({ commitHolders }: GroupFailoverView): EndpointId | undefined {
    return commitHolders === undefined ? undefined : this.fields.unansweredOrder
  }

  private causeFor (view: GroupFailoverView): FailoverCause | undefined {
    return this.unansweredOrder(view) === undefined ? causeOf(view) ?? leftoverOf(view) : 'leaving'
  }

  /** Another host holds the lease or the store is away: looks for the new primary, unless only leftovers were to be dealt with. */
  private claimLost (view: GroupFailoverView, now: Instant): Step {
    return view.commitHolders !== undefined && causeOf(view) === undefined ? this.rest(now) : this.searchPrimary(MAX_SEARCHES)
  }

  private searchPrimary (left: number): Step {
    return this.to({ kind: 'searching', left: left - 1 }, [{ kind: 'look', old: this.fields.old }])
  }

  /** Another host may be promoting an endpoint, which takes about a second. */
  private searchAgain (left: number, now: Instant): Step {
    return left > 0 ? this.to({ kind: 'searchPaused', left, until: later(now, SEARCH_INTERVAL_MS) }, []) : this.rest(now)
  }

  private objected (fence: number, now: Instant): Step {
    const { phase } = this.fields
    const isOpen = phase.kind === 'awaitingObjections' || phase.kind === 'confirming' || phase.kind === 'surveying'
    return isOpen && phase.fence === fence ? this.rest(now) : this.idle
  }

  /**
   * Reads the objections from the store before going on, since one may not have been delivered while this process was suspended or
   * its link was down. A host that can't read them orders nothing.
   */
  private confirm (fence: number, view: GroupFailoverView, now: Instant): Step {
    if (this.isRecovered(view)) return this.rest(now)
    return this.to({ kind: 'confirming', fence }, [{ kind: 'confirm', fence }])
  }

  private confirmed (fence: number, view: GroupFailoverView, now: Instant): Step {
    const { phase } = this.fields
    if (phase.kind !== 'confirming' || phase.fence !== fence) return this.idle
    return this.isRecovered(view) ? this.rest(now) : this.survey(fence, view, this.doesServe(view))
  }

  /**
   * Whether the primary that was to be replaced serves after all. It is looked at in each step up to the order, like an objection of this
   * host itself. A primary that answers that it doesn't lead is no longer known as one, and the failover goes on.
   *
   * Where commits wait for a replica, a promotion that all replicas have been stopped for loses none of them. To let the replicas go on
   * could: another host that ended may have left an order behind that is still carried out, unless a newer one comes first.
   */
  private isRecovered (view: GroupFailoverView): boolean {
    return view.commitHolders === undefined && this.doesServe(view)
  }

  /** Whether the primary that is to be replaced answers again. */
  private doesServe (view: GroupFailoverView): boolean {
    const { leader } = view
    return leader !== undefined && leader === this.fields.old && causeOf(view) === undefined
  }

  private survey (fence: number, { commitHolders }: GroupFailoverView, isHandover = false): Step {
    return this.to({ kind: 'surveying', fence, isHandover }, [{ kind: 'survey', old: this.fields.old, isHandover }], { stopped: commitHolders })
  }

  /**
   * Chooses the successor. An endpoint that says it leads ends the failover; that way a host which is cut off from the store finds the
   * new primary as well.
   *
   * A primary that leaves still serves, so a successor that lacks part of its log gets time to catch up; a promotion keeps only what
   * the successor has received.
   *
   * Where commits wait for a replica, nothing is promoted while an endpoint is silent that may hold an acknowledged commit. An old primary
   * that serves may go on acknowledging through replicas that no survey has stopped, such as one that has just started. So its commits
   * wait for the successor from the announcement on, and the order waits until the successor has all that came before.
   */
  private surveyed (statuses: ReadonlyMap<EndpointId, EndpointStatus>, view: GroupFailoverView, now: Instant): Step {
    const { phase, old, since } = this.fields
    if (phase.kind !== 'surveying' && phase.kind !== 'searching') return this.idle
    const leading = [...statuses].find(([id, { isPrimary }]) => isPrimary && id !== old)
    if (leading !== undefined) return this.rest(now, [{ kind: 'found', endpoint: leading[0], term: leading[1].term }])
    if (phase.kind === 'searching') return this.searchAgain(phase.left, now)
    if (this.isRecovered(view)) return this.rest(now)
    const oldStatus = old === undefined ? undefined : statuses.get(old)
    const isServing = oldStatus?.isPrimary === true
    const mayCatchUp = now - since < view.catchUpMs
    const endpoint = view.commitHolders === undefined || (isServing && mayCatchUp) ? longestLog(statuses, old, view) : completeLog(statuses, old, view)
    if (endpoint === undefined || !view.isLeaseHolder) return this.rest(now)
    const unheard = view.commitHolders?.unheard(statuses, statuses.get(endpoint)!.received, old) ?? []
    if (unheard.length > 0) return this.areNew(unheard, view) ? this.survey(phase.fence, view, phase.isHandover) : this.withhold(unheard, now)
    const isSynchronous = view.commitHolders !== undefined
    const handover = isServing || isSynchronous ? this.handover(endpoint, [...statuses.values()], view) : undefined
    if (isSynchronous && isServing && mayCatchUp) return this.to({ kind: 'handingOver', fence: phase.fence, endpoint, heardAt: undefined }, [{ kind: 'handOver', handover: handover! }])
    const isBehind = oldStatus?.received.isAfter(statuses.get(endpoint)!.received) === true
    if (isBehind && mayCatchUp) return this.to({ kind: 'waiting', until: later(now, CATCH_UP_INTERVAL_MS) }, [])
    return this.order(phase.fence, endpoint, handover, isServing)
  }

  /** The handover to the endpoint; undefined when no old primary is known. */
  private handover (successor: EndpointId, statuses: readonly EndpointStatus[], view: GroupFailoverView): Handover | undefined {
    const { old } = this.fields
    return old === undefined ? undefined : Handover.of({ old, successor, term: Math.max(view.term, ...statuses.map(({ term }) => term)) })
  }

  /**
   * Orders the promotion once the successor has all that the old primary had when the hosts had heard of the handover. Until then a host
   * may acknowledge commits that only another replica has; after that all wait for the successor.
   */
  private compared (statuses: ReadonlyMap<EndpointId, EndpointStatus> | undefined, view: GroupFailoverView, now: Instant): Step {
    const { phase, old, since } = this.fields
    if (phase.kind !== 'handingOver') return this.idle
    const { fence, endpoint, heardAt } = phase
    if (statuses === undefined) return this.to({ kind: 'waiting', until: later(now, ORDER_RETRY_MS) }, [this.giveUp])
    const successor = statuses.get(endpoint)
    const oldStatus = old === undefined ? undefined : statuses.get(old)
    if (successor?.isPrimary === true) return this.rest(now, [{ kind: 'found', endpoint, term: successor.term }])
    const isComparable = successor !== undefined && oldStatus?.isPrimary === true
    if (!isComparable || now - since >= view.catchUpMs) return this.to({ kind: 'waiting', until: later(now, CATCH_UP_INTERVAL_MS) }, [])
    const isComplete = heardAt !== undefined && !oldStatus.received.isAfter(successor.received)
    const comparison = { ...phase, heardAt: heardAt ?? later(now, ANNOUNCEMENT_MS) }
    if (!isComplete) return this.to({ kind: 'catchingUp', until: heardAt === undefined ? comparison.heardAt : later(now, COMPARE_INTERVAL_MS), comparison }, [])
    return view.isLeaseHolder ? this.order(fence, endpoint, undefined, true) : this.rest(now)
  }

  private compare (comparison: HandingOver): Step {
    return this.to(comparison, [{ kind: 'compare', old: this.fields.old!, successor: comparison.endpoint }])
  }

  /** Whether the endpoints were listed only during the survey, so that they weren't asked. */
  private areNew (endpoints: readonly EndpointId[], { commitHolders }: GroupFailoverView): boolean {
    const { stopped } = this.fields
    const added = stopped === undefined ? [] : commitHolders?.listedSince(stopped) ?? []
    return endpoints.every(id => added.includes(id))
  }

  /** Surveys again soon. After some incomplete surveys this host lets its lease expire, so that a host that reaches more endpoints can claim it. */
  private withhold (unheard: readonly EndpointId[], now: Instant): Step {
    const incompleteSurveys = this.fields.incompleteSurveys + 1
    const isLast = incompleteSurveys >= MAX_INCOMPLETE_SURVEYS
    const phase: Phase = isLast ? { kind: 'idle', until: later(now, timings.leaseMs + COOLDOWN_MS) } : { kind: 'waiting', until: later(now, SURVEY_RETRY_MS) }
    return this.to(phase, [{ kind: 'withhold', unheard }, this.giveUp], { incompleteSurveys })
  }

  private order (fence: number, endpoint: EndpointId, handover: Handover | undefined, isPlanned: boolean): Step {
    return this.to({ kind: 'ordering', fence, endpoint }, [{ kind: 'promote', endpoint, fence, handover, isPlanned }])
  }

  /**
   * A refused order ends the failover: the platform has seen a higher fence, so another host acts, or the chosen endpoint is down.
   *
   * An order without an answer is repeated soon, under a higher fence. Without a primary the logs don't grow, so the same endpoint is
   * chosen again, and promoting it twice has no further effect.
   */
  private ordered (outcome: 'done' | 'refused' | 'notDone' | 'unknown', now: Instant): Step {
    const { phase } = this.fields
    if (phase.kind !== 'ordering') return this.idle
    if (outcome === 'refused') return this.rest(now)
    if (outcome === 'notDone') return this.to({ kind: 'waiting', until: later(now, ORDER_RETRY_MS) }, [])
    if (outcome === 'unknown') return this.to({ kind: 'waiting', until: later(now, UNANSWERED_ORDER_MS) }, [], { unansweredOrder: phase.endpoint })
    return this.to({ kind: 'settling', until: later(now, PROMOTION_TIMEOUT_MS), endpoint: phase.endpoint }, [], { unansweredOrder: undefined })
  }

  /** Ends the failover. However it ends, the replicas must receive again: no commit would be acknowledged any more. */
  private rest (now: Instant, actions: readonly GroupFailoverAction[] = []): Step {
    const giveUp: readonly GroupFailoverAction[] = this.fields.hasClaimed ? [this.giveUp] : []
    return this.to({ kind: 'idle', until: later(now, COOLDOWN_MS) }, [...actions, ...giveUp], { hasClaimed: false, unansweredOrder: undefined, stopped: undefined })
  }

  private get giveUp (): GroupFailoverAction {
    return { kind: 'giveUp', hasOpenOrder: this.fields.unansweredOrder !== undefined }
  }

  private get idle (): Step {
    return { next: this, actions: [] }
  }

  private to (phase: Phase, actions: readonly GroupFailoverAction[], change: Partial<Fields> = {}): Step & { thenTick: (view: GroupFailoverView, now: Instant) => Step } {
    const next = new GroupFailover({ ...this.fields, ...change, phase })
    return { next, actions, thenTick: (view, now) => next.tick(view, now) }
  }
}

/**
 * What a host left behind that ended during a failover, where commits wait for a replica: replicas that it stopped, or an order that may
 * still be carried out. A new order under a higher fence, by a survey of its own, voids that one.
 */
function leftoverOf ({ commitHolders, isHandoverOpen, isLeaseOpen }: GroupFailoverView): FailoverCause | undefined {
  if (commitHolders === undefined) return undefined
  if (isHandoverOpen) return 'unfinished'
  return isLeaseOpen ? 'abandoned' : undefined
}

/** Why the group needs a new primary; undefined when it doesn't. */
function causeOf ({ leader, isLeaving, isListed, isReplacementDue, isFailing, leaderlessMs }: GroupFailoverView): FailoverCause | undefined {
  if (leader === undefined) return leaderlessMs >= LEADERLESS_TIMEOUT_MS ? 'nobody' : undefined
  if (isLeaving) return 'leaving'
  if (!isFailing) return isReplacementDue ? 'leaving' : undefined
  return isListed ? 'unreached' : 'gone'
}

type Statuses = ReadonlyMap<EndpointId, EndpointStatus>

/** The replica with the longest log among those that stay, since the others are truncated to it. Endpoints that leave are chosen only when there is no other. */
function longestLog (statuses: Statuses, old: EndpointId | undefined, view: GroupFailoverView): EndpointId | undefined {
  const { staying, others } = candidates(statuses, old, view)
  return longest(staying) ?? longest(others)
}

/** The replica with the longest log of all, which alone may hold an acknowledged commit; one that stays if it has as much. */
function completeLog (statuses: Statuses, old: EndpointId | undefined, view: GroupFailoverView): EndpointId | undefined {
  const { staying, others } = candidates(statuses, old, view)
  return longest([...staying, ...others])
}

/** The replicas that answered; `others` leave or are no longer listed. */
function candidates (statuses: Statuses, old: EndpointId | undefined, { leaving, commitHolders }: GroupFailoverView) {
  const unlisted = new Set(commitHolders?.unlisted.map(({ id }) => id))
  const replicas = [...statuses].filter(([id]) => id !== old)
  const isStaying = (id: EndpointId) => !leaving.has(id) && !unlisted.has(id)
  return { staying: replicas.filter(([id]) => isStaying(id)), others: replicas.filter(([id]) => !isStaying(id)) }
}

/** The first of those with the longest log. */
function longest ([first, ...rest]: ReadonlyArray<readonly [EndpointId, EndpointStatus]>): EndpointId | undefined {
  return first === undefined ? undefined : rest.reduce((best, one) => one[1].received.isAfter(best[1].received) ? one : best, first)[0]
}

function later (now: Instant, ms: number): Instant {
  return now + ms as Instant
}
