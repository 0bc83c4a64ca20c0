/**
 * The failover monitor of one group: orders a promotion when its failure
 * detector finds that the primary failed, and a planned handover when the
 * primary is leaving.
 *
 * Safety rests on votes alone. A server accepts the seal of a term from one
 * monitor only, and a sealed server confirms nothing to a lower term. An
 * acknowledged write is on a majority, so a round that sealed a majority has it
 * on at least one sealed server, and picks the newest log among them. No clock,
 * lease or store is involved, so a monitor that was paused and resumes can at
 * worst lose a round.
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

/** The state of one monitor. Immutable; `step` applies an event and returns the next state. */
export class Monitor {
  private constructor (private readonly fields: MonitorFields) {}

  static create (group: Group, ownEndpoint: EndpointId, rank: number, timings: FailoverTimings, now: Instant): Monitor {
    const detector = FailureDetector.create(group, timings, now)
    return new Monitor({ detector, ownEndpoint, rank, timings, proposedTerm: 0 as Term, leaving: undefined, handoverNotBefore: now, isIsolated: false, phase: WATCHING })
  }

  get group (): Group {
    return this.fields.detector.group
  }

  get isWatching (): boolean {
    return this.fields.phase.kind === 'watching'
  }

  /** Whether this process or another one reached the endpoint recently. */
  isReached (endpoint: EndpointId, now: Instant): boolean {
    return this.fields.detector.isReached(endpoint, now)
  }

  /** `chance` is a number in [0, 1) from the process's seeded generator. */
  step (event: FailoverEvent, now: Instant, chance: number): Step {
    const { detector, rank, timings } = this.fields
    switch (event.kind) {
      case 'sampled': return this.with({ detector: detector.withSample(event.sample, now) }).sampled(event.sample, now)
      case 'learnt': return this.learnt(event.sample, now)
      case 'missed': return this.with({ detector: detector.withMiss(event.endpoint, now) }).missed(event.endpoint, now)
      case 'sealed': return this.with({ detector: detector.withSample(event.sample, now) }).sealed(event.term, event.sample, now)
      case 'refused': return this.refused(event.endpoint, event.term, now, chance)
      case 'failed': return this.idle
      case 'promoted': return this.promoted(event.term, event.sample, now)
      case 'leaving': return this.with({ leaving: event.endpoint, handoverNotBefore: later(now, rank * timings.orphanMs) }).idle
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
    const detector = this.fields.detector.withReport(sample, now)
    if (detector === this.fields.detector) return this.idle
    const next = this.with({ detector })
    const { primary } = next.group
    return primary?.endpoint === sample.endpoint ? next.primarySeen(primary, now) : next.idle
  }

  /** A primary of the highest known term is alive: ends whatever isn't for a newer term. */
  private primarySeen (primary: Sample, now: Instant): Step {
    const { phase, leaving, handoverNotBefore } = this.fields
    if (phase.kind === 'promoting' && phase.term === primary.term && phase.endpoint === primary.endpoint) {
      return this.promoted(phase.term, primary, now)
    }
    const isRunning = phase.kind === 'sealing' || phase.kind === 'promoting' || phase.kind === 'handover'
    if (isRunning && primary.term < phase.term) return this.idle
    const settled = this.with({ phase: WATCHING, isIsolated: false })
    return leaving === primary.endpoint && now >= handoverNotBefore ? settled.startHandover(primary, now) : settled.idle
  }

  private missed (endpoint: EndpointId, now: Instant): Step {
    const { phase, detector, rank, timings } = this.fields
    if (phase.kind === 'watching' && detector.isPrimarySuspected(now)) {
      return this.wait(now, rank * timings.rankDelayMs, 'the primary missed its probes')
    }
    if (phase.kind !== 'surveying') return this.idle
    return this.with({ phase: { ...phase, survey: phase.survey.withMiss(endpoint) } }).proposeWhenAsked(now)
  }

  private wait (now: Instant, ms: number, cause: string): Step {
    const detector = this.fields.detector.withPrimaryUnreachable
    const next = this.with({ detector, phase: { kind: 'waiting', until: later(now, ms), cause } })
    return ms === 0 ? next.ask(now, cause) : next.idle
  }

  /**
   * Surveys all endpoints before any of them is sealed, since a seal would stop
   * a healthy primary. Seals follow only when a majority answers and none of it
   * is primary in the highest term. So a monitor that was paused during a
   * failover, or that reaches a single server, seals nothing.
   */
  private ask (now: Instant, cause: string): Step {
    const until = later(now, this.fields.timings.roundMs)
    const phase: Phase = { kind: 'surveying', term: this.group.term, until, survey: Survey.empty, cause }
    return { monitor: this.with({ phase }), actions: groupActions.probe(this.group) }
  }

  /** An endpoint answered while no primary of the highest term is known. */
  private answered (sample: Sample, now: Instant): Step {
    const { phase } = this.fields
    if (phase.kind === 'handover') return this.applyTransition(handover.replicaAnswered(phase, sample))
    if (phase.kind !== 'surveying') return this.idle
    return this.with({ phase: { ...phase, survey: phase.survey.withAnswer(sample.endpoint) } }).proposeWhenAsked(now)
  }

  /**
   * Proposes a term once a majority has answered. A primary that has missed its
   * probes isn't waited for, since a frozen one would cost its whole timeout.
   * After a round that reached no majority this process may have been cut off
   * itself, and its misses say nothing about the primary, so it waits for all
   * answers. If the term rose in the meantime another monitor is at work, and
   * gets the time to finish, or its primary would be sealed again at once.
   */
  private proposeWhenAsked (now: Instant): Step {
    const { detector, phase, rank, timings, isIsolated } = this.fields
    if (phase.kind !== 'surveying' || !phase.survey.hasAnswers(this.group.majority)) return this.idle
    const isSure = (detector.hasMissedProbes && !isIsolated) || phase.survey.isWhole(this.group.samples.length)
    if (!isSure) return this.idle
    const hasOtherProposer = this.group.term > phase.term
    return hasOtherProposer ? this.wait(now, (rank + 1) * timings.rankDelayMs, phase.cause) : this.propose(now, phase.cause)
  }

  /** Asks all endpoints but `except` for their votes. A primary that is cut off from its replicas is left out, since its log would win. */
  private propose (now: Instant, cause: string, except?: EndpointId): Step {
    const term = this.nextTerm
    const until = later(now, this.fields.timings.roundMs)
    const phase: Phase = { kind: 'sealing', term, until, ballot: Ballot.empty, cause }
    return { monitor: this.with({ phase, proposedTerm: term }), actions: groupActions.seal(this.group, term, except) }
  }

  /** Votes are asked for once per term, so that a seal that arrives late can't stop the primary of a later round. */
  private get nextTerm (): Term {
    return Math.max(this.group.term, this.fields.proposedTerm) + 1 as Term
  }

  private sealed (term: Term, sample: Sample, now: Instant): Step {
    const { phase, timings, leaving } = this.fields
    if (phase.kind === 'handover' && phase.term === term) return this.applyTransition(handover.primarySealed(phase, sample, this.group))
    if (phase.kind !== 'sealing' || phase.term !== term) return this.idle
    const ballot = phase.ballot.withSeal(sample)
    if (!ballot.isWon(this.group.majority)) return this.with({ phase: { ...phase, ballot } }).idle
    const { endpoint } = ballot.candidate(leaving)!
    const until = later(now, timings.roundMs)
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
    const { detector, phase } = this.fields
    if (phase.kind !== 'promoting' || phase.term !== term || sample.role !== 'primary') return this.idle
    const primary = sample.endpoint
    const follows = groupActions.follow(this.group, primary, term)
    const record: FailoverAction = { kind: 'record', group: this.group.id, term, primary, position: sample.received, cause: phase.cause }
    return { monitor: this.with({ detector: detector.withSample(sample, now), phase: WATCHING }), actions: [...follows, record] }
  }

  private tick (now: Instant, chance: number): Step {
    const { phase, detector, timings, ownEndpoint, rank } = this.fields
    if (phase.kind === 'watching') {
      const activationDelayMs = activationRank(this.group, ownEndpoint, rank) * timings.rankDelayMs
      if (detector.isReplicationStalled(now, activationDelayMs)) return this.propose(now, 'the primary reaches no replica', this.group.primary?.endpoint)
      if (!detector.isPrimaryMissing(now)) return this.idle
      return this.wait(now, 1 + activationDelayMs + chance * timings.jitterMs, 'the group shows no primary')
    }
    if (now < phase.until) return this.idle
    if (phase.kind === 'waiting') return this.ask(now, phase.cause)
    const isIsolated = phase.kind === 'surveying' && !phase.survey.hasAnswers(this.group.majority)
    return this.with({ isIsolated }).retry(now, chance, phase.kind === 'handover' ? handover.cause : phase.cause)
  }

  /**
   * Two monitors that propose the same term split the votes, so that neither
   * has a majority. A random wait lets one of them go first in the next term.
   */
  private retry (now: Instant, chance: number, cause: string): Step {
    const { timings, rank } = this.fields
    return this.wait(now, 1 + rank * timings.rankDelayMs + chance * timings.jitterMs, cause)
  }

  private startHandover (primary: Sample, now: Instant): Step {
    const { timings } = this.fields
    const term = this.nextTerm
    const transition = handover.begin(this.group, primary, term, later(now, timings.roundMs))
    if (transition === undefined) return this.idle
    return { monitor: this.with({ phase: transition.phase, proposedTerm: term, handoverNotBefore: later(now, timings.orphanMs) }), actions: transition.actions }
  }

  private applyTransition (transition: ReturnType<typeof handover.replicaAnswered>): Step {
    return { monitor: this.with({ phase: transition.phase }), actions: transition.actions }
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
