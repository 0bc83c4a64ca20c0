/**
 * The failover monitor of one group: judges the primary and orders promotions.
 *
 * Safety rests on votes alone. A server accepts the seal of a term from one
 * proposer only, and a sealed server confirms nothing to a lower term. A round
 * that sealed a majority holds every acknowledged write on at least one sealed
 * server, since an acknowledged write is on a majority, and picks the longest
 * log among them. No clock, lease or store is part of that argument, so a
 * monitor that was paused and wakes up can at worst lose a round.
 */

import type { Group } from '../group/group.ts'
import type { Sample } from '../group/sample.ts'
import type { EndpointId } from '../id/endpoint.ts'
import type { Instant } from '../id/instant.ts'
import type { Term } from '../id/term.ts'
import type { FailoverAction } from './action.ts'
import type { FailoverEvent } from './event.ts'
import type { Pace } from './pace.ts'

type Phase =
  | { readonly kind: 'watching' }
  | { readonly kind: 'waiting', readonly until: Instant, readonly cause: string }
  | { readonly kind: 'sealing', readonly term: Term, readonly until: Instant, readonly sealed: readonly Sample[], readonly cause: string }
  | { readonly kind: 'promoting', readonly term: Term, readonly until: Instant, readonly endpoint: EndpointId, readonly cause: string }

interface Fields {
  readonly group: Group
  /** 0 for the monitor that goes first; others leave it time. */
  readonly rank: number
  readonly pace: Pace
  readonly misses: number
  readonly phase: Phase
}

interface Step {
  readonly monitor: Monitor
  readonly actions: readonly FailoverAction[]
}

/** The state of one monitor. Immutable; `step` takes an event in and yields the next state. */
export class Monitor {
  private constructor (private readonly fields: Fields) {}

  static create (group: Group, rank: number, pace: Pace): Monitor {
    return new Monitor({ group, rank, pace, misses: 0, phase: { kind: 'watching' } })
  }

  get group (): Group {
    return this.fields.group
  }

  get isWatching (): boolean {
    return this.fields.phase.kind === 'watching'
  }

  /** `chance` is a number in [0, 1) from the process's one seeded generator. */
  step (event: FailoverEvent, now: Instant, chance: number): Step {
    switch (event.kind) {
      case 'sampled': return this.sampled(event.sample)
      case 'missed': return this.missed(event.endpoint, now)
      case 'leaving': return this.leaving(event.endpoint, now)
      case 'sealed': return this.sealed(event.term, event.sample, now)
      case 'refused': return this.refused(event.term, now, chance)
      case 'failed': return this.idle
      case 'promoted': return this.promoted(event.endpoint, event.term)
      case 'tick': return this.tick(now, chance)
    }
  }

  private sampled (sample: Sample): Step {
    const group = this.fields.group.with(sample)
    const next = this.with({ group })
    const primary = group.primary
    if (primary === undefined) return next.idle
    if (sample.endpoint === primary.endpoint) {
      const { phase } = this.fields
      const isSettled = phase.kind === 'watching' || phase.kind === 'waiting'
      return next.with({ misses: 0, phase: isSettled ? { kind: 'watching' } : phase }).idle
    }
    return { monitor: next, actions: next.rejoin(sample, primary) }
  }

  /**
   * A server that lags in term was cut off during a promotion. It shows by an
   * old term in its sample, and keeps refusing confirmations to the primary
   * until it is told whom to follow.
   */
  private rejoin (sample: Sample, primary: Sample): readonly FailoverAction[] {
    const isBehind = sample.term < primary.term || sample.role !== 'replica'
    if (!isBehind || !sample.reachable) return []
    return [{ kind: 'follow', endpoint: sample.endpoint, primary: primary.endpoint, term: primary.term }]
  }

  private missed (endpoint: EndpointId, now: Instant): Step {
    const { group, misses, pace, phase } = this.fields
    const known = group.sample(endpoint)
    if (known === undefined) return this.idle
    const isPrimary = known.role === 'primary' && known.term === group.term
    const next = this.with({ group: isPrimary ? group : group.with(known.with({ reachable: false })) })
    if (!isPrimary || phase.kind !== 'watching') return next.idle
    if (misses + 1 < pace.misses) return next.with({ misses: misses + 1 }).idle
    return next.wait(now, this.fields.rank * pace.rankDelayMs, 'the primary missed its probes')
  }

  private leaving (endpoint: EndpointId, now: Instant): Step {
    const { group, phase } = this.fields
    if (group.primary?.endpoint !== endpoint || phase.kind !== 'watching') return this.idle
    return this.wait(now, this.fields.rank * this.fields.pace.rankDelayMs, 'the primary is leaving')
  }

  private wait (now: Instant, ms: number, cause: string): Step {
    const next = this.with({ phase: { kind: 'waiting', until: now + ms as Instant, cause } })
    return ms === 0 ? next.propose(now, cause) : next.idle
  }

  private propose (now: Instant, cause: string): Step {
    const { group, pace } = this.fields
    const term = group.term + 1 as Term
    const phase: Phase = { kind: 'sealing', term, until: now + pace.roundMs as Instant, sealed: [], cause }
    const actions = group.samples.map(({ endpoint }): FailoverAction => ({ kind: 'seal', endpoint, term }))
    return { monitor: this.with({ phase }), actions }
  }

  private sealed (term: Term, sample: Sample, now: Instant): Step {
    const { group, pace, phase } = this.fields
    const next = this.with({ group: group.with(sample) })
    if (phase.kind !== 'sealing' || phase.term !== term) return next.idle
    const sealed = [...phase.sealed.filter(old => old.endpoint !== sample.endpoint), sample]
    if (sealed.length < group.majority) return next.with({ phase: { ...phase, sealed } }).idle
    const best = sealed.reduce((a, b) => isLonger(b, a) ? b : a)
    const until = now + pace.roundMs as Instant
    const promoting: Phase = { kind: 'promoting', term, until, endpoint: best.endpoint, cause: phase.cause }
    return {
      monitor: next.with({ phase: promoting }),
      actions: [{ kind: 'promote', endpoint: best.endpoint, term }]
    }
  }

  private refused (term: Term, now: Instant, chance: number): Step {
    const { phase } = this.fields
    const isMine = (phase.kind === 'sealing' || phase.kind === 'promoting') && phase.term === term
    if (!isMine) return this.idle
    return this.retry(now, chance, phase.cause)
  }

  private promoted (endpoint: EndpointId, term: Term): Step {
    const { group, phase } = this.fields
    if (phase.kind !== 'promoting' || phase.term !== term) return this.idle
    const known = group.sample(endpoint)
    if (known === undefined) return this.idle
    const primary = known.with({ role: 'primary', term, lastTerm: term, history: known.history.with(term, known.received) })
    const others = group.samples.filter(sample => sample.endpoint !== endpoint)
    const follows = others.map((sample): FailoverAction =>
      ({ kind: 'follow', endpoint: sample.endpoint, primary: endpoint, term }))
    const record: FailoverAction = {
      kind: 'record', group: group.id, term, primary: endpoint, position: known.received, cause: phase.cause
    }
    const monitor = this.with({ group: group.with(primary), misses: 0, phase: { kind: 'watching' } })
    return { monitor, actions: [...follows, record] }
  }

  private tick (now: Instant, chance: number): Step {
    const { phase } = this.fields
    if (phase.kind === 'watching' || now < phase.until) return this.idle
    if (phase.kind === 'waiting') return this.propose(now, phase.cause)
    return this.retry(now, chance, phase.cause)
  }

  /**
   * Two monitors that propose the same term split the votes: each sees a
   * refusal and neither has a majority. Waiting by chance before the next
   * term lets one of them go first.
   */
  private retry (now: Instant, chance: number, cause: string): Step {
    const { pace, rank } = this.fields
    const ms = rank * pace.rankDelayMs + chance * pace.jitterMs
    return this.with({ phase: { kind: 'waiting', until: now + ms as Instant, cause } }).idle
  }

  private get idle (): Step {
    return { monitor: this, actions: [] }
  }

  private with (change: Partial<Fields>): Monitor {
    return new Monitor({ ...this.fields, ...change })
  }
}

/** Whether log `a` is newer than log `b`: by the term of the last entry first, as in any replicated log. */
function isLonger (a: Sample, b: Sample): boolean {
  if (a.lastTerm !== b.lastTerm) return a.lastTerm > b.lastTerm
  return a.received > b.received
}
