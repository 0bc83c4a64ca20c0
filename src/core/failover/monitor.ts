/**
 * The failover monitor of one group: orders promotions when its watch judges
 * that the primary failed, and planned hand-overs from a leaving primary.
 *
 * Safety rests on votes alone. A server accepts the seal of a term from one
 * proposer only, and a sealed server confirms nothing to a lower term. A round
 * that sealed a majority holds every acknowledged write on at least one sealed
 * server, since an acknowledged write is on a majority, and picks the newest
 * log among them. No clock, lease or store is part of that argument, so a
 * monitor that was paused and wakes up can at worst lose a round.
 */

import type { Group } from '../group/group.ts'
import type { Sample } from '../group/sample.ts'
import type { EndpointId } from '../id/endpoint.ts'
import type { Instant } from '../id/instant.ts'
import type { Term } from '../id/term.ts'
import type { FailoverAction } from './action.ts'
import { Ballot } from './ballot.ts'
import type { FailoverEvent } from './event.ts'
import { handover } from './handover.ts'
import type { MonitorFields } from './monitorfields.ts'
import { groupActions } from './groupactions.ts'
import type { FailoverTimings } from './timings.ts'
import type { Phase } from './phase.ts'
import { Survey } from './survey.ts'
import { activationRank } from './activationrank.ts'
import { FailureDetector } from './failuredetector.ts'

interface Step {
  readonly monitor: Monitor
  readonly actions: readonly FailoverAction[]
}

const WATCHING: Phase = { kind: 'watching' }

/** The state of one monitor. Immutable; `step` takes an event in and yields the next state. */
export class Monitor {
  private constructor (private readonly fields: MonitorFields) {}

  static create (group: Group, own: EndpointId, rank: number, pace: FailoverTimings, now: Instant): Monitor {
    const watch = FailureDetector.create(group, pace, now)
    return new Monitor({ detector: watch, ownEndpoint: own, rank, timings: pace, proposedTerm: 0 as Term, leaving: undefined, handoverNotBefore: now, isIsolated: false, phase: WATCHING })
  }

  get group (): Group {
    return this.fields.detector.group
  }

  get isWatching (): boolean {
    return this.fields.phase.kind === 'watching'
  }

  /** Whether this process or another reached the endpoint lately. */
  isReached (endpoint: EndpointId, now: Instant): boolean {
    return this.fields.detector.isReached(endpoint, now)
  }

  /** `chance` is a number in [0, 1) from the process's one seeded generator. */
  step (event: FailoverEvent, now: Instant, chance: number): Step {
    const { detector: watch, rank, timings: pace } = this.fields
    switch (event.kind) {
      case 'sampled': return this.with({ detector: watch.withSample(event.sample, now) }).sampled(event.sample, now)
      case 'learnt': return this.learnt(event.sample, now)
      case 'missed': return this.with({ detector: watch.withMiss(event.endpoint, now) }).missed(event.endpoint, now)
      case 'sealed': return this.with({ detector: watch.withSample(event.sample, now) }).sealed(event.term, event.sample, now)
      case 'refused': return this.refused(event.endpoint, event.term, now, chance)
      case 'failed': return this.idle
      case 'promoted': return this.promoted(event.term, event.sample, now)
      case 'leaving': return this.with({ leaving: event.endpoint, handoverNotBefore: later(now, rank * pace.orphanMs) }).idle
      case 'staying': return this.with({ leaving: undefined }).idle
      case 'tick': return this.tick(now, chance)
    }
  }

  private sampled (sample: Sample, now: Instant): Step {
    const { primary } = this.group
    if (primary === undefined) return this.answered(sample, now)
    if (sample.endpoint === primary.endpoint) return this.primarySeen(primary, now)
    return { monitor: this, actions: groupActions.rejoin(sample, primary) }
  }

  private learnt (sample: Sample, now: Instant): Step {
    const watch = this.fields.detector.withReport(sample, now)
    if (watch === this.fields.detector) return this.idle
    const next = this.with({ detector: watch })
    const { primary } = next.group
    return primary?.endpoint === sample.endpoint ? next.primarySeen(primary, now) : next.idle
  }

  /** A primary of the highest term is alive: nothing that was begun against an older one matters any more. */
  private primarySeen (primary: Sample, now: Instant): Step {
    const { phase, leaving, handoverNotBefore: handAt } = this.fields
    if (phase.kind === 'promoting' && phase.term === primary.term && phase.endpoint === primary.endpoint) {
      return this.promoted(phase.term, primary, now)
    }
    const isRunning = phase.kind === 'sealing' || phase.kind === 'promoting' || phase.kind === 'handing'
    if (isRunning && primary.term < phase.term) return this.idle
    const settled = this.with({ phase: WATCHING, isIsolated: false })
    return leaving === primary.endpoint && now >= handAt ? settled.startHandover(primary, now) : settled.idle
  }

  private missed (endpoint: EndpointId, now: Instant): Step {
    const { phase, detector: watch, rank, timings: pace } = this.fields
    if (phase.kind === 'watching' && watch.isPrimarySuspected(now)) {
      return this.wait(now, rank * pace.rankDelayMs, 'the primary missed its probes')
    }
    if (phase.kind !== 'asking') return this.idle
    return this.with({ phase: { ...phase, survey: phase.survey.withMiss(endpoint) } }).proposeWhenAsked(now)
  }

  private wait (now: Instant, ms: number, cause: string): Step {
    const watch = this.fields.detector.withPrimaryUnreachable
    const next = this.with({ detector: watch, phase: { kind: 'waiting', until: later(now, ms), cause } })
    return ms === 0 ? next.ask(now, cause) : next.idle
  }

  /**
   * Against a monitor that knows too little: one that was frozen through a
   * failover and woke up, or one that reaches a single server. Its seals would
   * stop a healthy primary. So it asks all servers first, and seals only when
   * a majority answers and none of them is primary in the highest term.
   */
  private ask (now: Instant, cause: string): Step {
    const until = later(now, this.fields.timings.roundMs)
    const phase: Phase = { kind: 'asking', term: this.group.term, until, survey: Survey.empty, cause }
    return { monitor: this.with({ phase }), actions: groupActions.probe(this.group) }
  }

  /** An endpoint answered while no primary of the highest term is known. */
  private answered (sample: Sample, now: Instant): Step {
    const { phase } = this.fields
    if (phase.kind === 'handing') return this.applyTransition(handover.replicaAnswered(phase, sample))
    if (phase.kind !== 'asking') return this.idle
    return this.with({ phase: { ...phase, survey: phase.survey.withAnswer(sample.endpoint) } }).proposeWhenAsked(now)
  }

  /**
   * A primary that has missed its probes already needn't be waited for; a
   * frozen one would cost its whole timeout. But misses of a monitor that was
   * cut off itself say nothing of the primary: after the heal two replicas
   * answer just before it does, and a healthy primary would be replaced. So
   * the round after one that reached no majority waits for its answer too. A term that rose meanwhile shows
   * another proposer at work: it gets the time to finish, or else its primary
   * would be sealed again at once.
   */
  private proposeWhenAsked (now: Instant): Step {
    const { detector: watch, phase, rank, timings: pace, isIsolated: isAlone } = this.fields
    if (phase.kind !== 'asking' || !phase.survey.hasAnswers(this.group.majority)) return this.idle
    const isSure = (watch.hasMissedProbes && !isAlone) || phase.survey.isWhole(this.group.samples.length)
    if (!isSure) return this.idle
    const isSomebodyFirst = this.group.term > phase.term
    return isSomebodyFirst ? this.wait(now, (rank + 1) * pace.rankDelayMs, phase.cause) : this.propose(now, phase.cause)
  }

  /** Asks all for their votes; a primary that is cut off isn't asked, since its log would win and nothing be mended. */
  private propose (now: Instant, cause: string, except?: EndpointId): Step {
    const term = this.nextTerm
    const until = later(now, this.fields.timings.roundMs)
    const phase: Phase = { kind: 'sealing', term, until, ballot: Ballot.empty, cause }
    return { monitor: this.with({ phase, proposedTerm: term }), actions: groupActions.seal(this.group, term, except) }
  }

  /** A term is asked votes for once only, so that a seal that arrives late can't stop the primary of a later round. */
  private get nextTerm (): Term {
    return Math.max(this.group.term, this.fields.proposedTerm) + 1 as Term
  }

  private sealed (term: Term, sample: Sample, now: Instant): Step {
    const { phase, timings: pace, leaving } = this.fields
    if (phase.kind === 'handing' && phase.term === term) return this.applyTransition(handover.primarySealed(phase, sample, this.group))
    if (phase.kind !== 'sealing' || phase.term !== term) return this.idle
    const ballot = phase.ballot.withSeal(sample)
    if (!ballot.isWon(this.group.majority)) return this.with({ phase: { ...phase, ballot } }).idle
    const { endpoint } = ballot.candidate(leaving)!
    const until = later(now, pace.roundMs)
    return {
      monitor: this.with({ phase: { kind: 'promoting', term, until, endpoint, cause: phase.cause } }),
      actions: [{ kind: 'promote', endpoint, term }]
    }
  }

  private refused (endpoint: EndpointId, term: Term, now: Instant, chance: number): Step {
    const { phase } = this.fields
    if (phase.kind === 'promoting' && phase.term === term) return this.retry(now, chance, phase.cause)
    if (phase.kind !== 'sealing' || phase.term !== term) return this.idle
    const ballot = phase.ballot.withRefusal(endpoint)
    if (ballot.isLost(this.group.samples.length, this.group.majority)) return this.retry(now, chance, phase.cause)
    return this.with({ phase: { ...phase, ballot } }).idle
  }

  private promoted (term: Term, sample: Sample, now: Instant): Step {
    const { detector: watch, phase } = this.fields
    if (phase.kind !== 'promoting' || phase.term !== term || sample.role !== 'primary') return this.idle
    const primary = sample.endpoint
    const follows = groupActions.follow(this.group, primary, term)
    const record: FailoverAction = { kind: 'record', group: this.group.id, term, primary, position: sample.received, cause: phase.cause }
    return { monitor: this.with({ detector: watch.withSample(sample, now), phase: WATCHING }), actions: [...follows, record] }
  }

  private tick (now: Instant, chance: number): Step {
    const { phase, detector: watch, timings: pace, ownEndpoint: own, rank } = this.fields
    if (phase.kind === 'watching') {
      const turnMs = activationRank(this.group, own, rank) * pace.rankDelayMs
      if (watch.isReplicationStalled(now, turnMs)) return this.propose(now, 'the primary reaches no replica', this.group.primary?.endpoint)
      if (!watch.isPrimaryMissing(now)) return this.idle
      return this.wait(now, 1 + turnMs + chance * pace.jitterMs, 'the group shows no primary')
    }
    if (now < phase.until) return this.idle
    if (phase.kind === 'waiting') return this.ask(now, phase.cause)
    const isAlone = phase.kind === 'asking' && !phase.survey.hasAnswers(this.group.majority)
    return this.with({ isIsolated: isAlone }).retry(now, chance, phase.kind === 'handing' ? handover.cause : phase.cause)
  }

  /**
   * Two monitors that propose the same term split the votes: each sees a
   * refusal and neither has a majority. Waiting by chance before the next
   * term lets one of them go first.
   */
  private retry (now: Instant, chance: number, cause: string): Step {
    const { timings: pace, rank } = this.fields
    return this.wait(now, 1 + rank * pace.rankDelayMs + chance * pace.jitterMs, cause)
  }

  private startHandover (primary: Sample, now: Instant): Step {
    const { timings: pace } = this.fields
    const term = this.nextTerm
    const move = handover.begin(this.group, primary, term, later(now, pace.roundMs))
    if (move === undefined) return this.idle
    return { monitor: this.with({ phase: move.phase, proposedTerm: term, handoverNotBefore: later(now, pace.orphanMs) }), actions: move.actions }
  }

  private applyTransition (move: ReturnType<typeof handover.replicaAnswered>): Step {
    return { monitor: this.with({ phase: move.phase }), actions: move.actions }
  }

  private get idle (): Step {
    return { monitor: this, actions: [] }
  }

  private with (change: Partial<MonitorFields>): Monitor {
    return new Monitor({ ...this.fields, ...change })
  }
}

function later (now: Instant, ms: number): Instant {
  return now + ms as Instant
}
