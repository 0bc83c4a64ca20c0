/** What this owner knows of the health of a group's endpoints: which are well, which are ejected from reads, and which are due for a trial read. */

import type { EndpointId } from '../../id/endpoint.ts'
import type { Instant } from '../../id/instant.ts'
import type { OthersLoad } from '../load/othersload.ts'
import { ResponseStats } from './responsestats.ts'
import { EjectionLevel } from './ejectionlevel.ts'
import { assessEndpoint } from './assessendpoint.ts'

interface EndpointState {
  readonly responses: ResponseStats
  ejection: EjectionLevel
  /** Statements that this owner has there now. */
  atWork: number
  trialAt: number
}

interface EvaluatedEndpoint {
  readonly id: EndpointId
  readonly isPrimary: boolean
}

interface EjectionChange {
  readonly id: EndpointId
  readonly isEjected: boolean
  /** Mean over all owners. */
  readonly failing: number
  readonly answerMs: number | undefined
}

type Outcome = 'done' | 'failed' | 'notRun'

/** About the age of the other owners' reports, so more often would change little. */
const EVALUATION_INTERVAL_MS = 50
/**
 * Interval of trial reads of all owners together at an ejected endpoint: enough to notice within half a second that it has recovered, and few enough for
 * an endpoint that is many times slower.
 */
const TRIAL_INTERVAL_MS = 100

/** Changes in place, with every statement. */
export class GroupHealth {
  private readonly endpoints = new Map<EndpointId, EndpointState>()
  private evaluatedAt = -Infinity

  private constructor () {}

  static create (): GroupHealth {
    return new GroupHealth()
  }

  responses (id: EndpointId): ResponseStats {
    return this.kept(id).responses
  }

  /** Statements that this owner has at the endpoint now. */
  atWork (id: EndpointId): number {
    return this.endpoints.get(id)?.atWork ?? 0
  }

  /**
   * A statement is sent; the returned function is to be called with its outcome. `statementsPerPlace`: statements at the endpoint for each place,
   * including this one.
   */
  sent (id: EndpointId, statementsPerPlace: number, sentAt: Instant): (ending: Outcome, now: Instant) => void {
    const kept = this.kept(id)
    kept.atWork++
    return (ending, now) => {
      kept.atWork--
      if (ending === 'done') kept.responses.done(now - sentAt, statementsPerPlace, now)
      if (ending === 'failed') kept.responses.failed(now)
    }
  }

  /** Evaluates each endpoint, unless the last time was too recent; returns those that were ejected and those that are back. */
  evaluate (endpoints: readonly EvaluatedEndpoint[], others: OthersLoad, now: Instant): readonly EjectionChange[] {
    if (now - this.evaluatedAt < EVALUATION_INTERVAL_MS) return []
    this.evaluatedAt = now
    const seen = endpoints.map(one => ({ ...one, ...this.combinedStats(one.id, others, now) }))
    return seen.flatMap(one => {
      const kept = this.kept(one.id)
      const before = kept.ejection
      kept.ejection = before.next(assessEndpoint(one, seen.filter(({ id }) => id !== one.id)), now)
      const isNews = kept.ejection.isEjected ? !before.isEjected : kept.ejection.part === 1 && before.part < 1
      return isNews ? [{ id: one.id, isEjected: kept.ejection.isEjected, failing: one.failing, answerMs: one.answerMs }] : []
    })
  }

  /** The fraction of its reads that the endpoint keeps, from 0 to 1. */
  part (id: EndpointId): number {
    return this.endpoints.get(id)?.ejection.part ?? 1
  }

  /** Whether it's this owner's turn to send a trial read to an ejected endpoint. `owners`: others that send them as well. */
  isTrialDue (id: EndpointId, owners: number, now: Instant): boolean {
    const kept = this.endpoints.get(id)
    return kept !== undefined && kept.ejection.isEjected && now - kept.trialAt >= TRIAL_INTERVAL_MS * (1 + owners)
  }

  recordTrial (id: EndpointId, now: Instant): void {
    this.kept(id).trialAt = now
  }

  /** The endpoint is gone, or was restarted under the same id. */
  forget (id: EndpointId): void {
    this.endpoints.delete(id)
  }

  /** The means over this owner and the others, as far as they know. */
  private combinedStats (id: EndpointId, others: OthersLoad, now: Instant): { failing: number, answerMs: number | undefined } {
    const { responses } = this.kept(id)
    const theirs = others.at(id, now)
    const own = responses.hasRecentSample(now) ? 1 : 0
    const ownMs = responses.answerMs(now)
    const failing = own + theirs.owners === 0 ? 0 : (own * responses.failing(now) + theirs.owners * theirs.failing) / (own + theirs.owners)
    return { failing, answerMs: ownMs === undefined || theirs.answerMs === undefined ? ownMs ?? theirs.answerMs : (ownMs + theirs.owners * theirs.answerMs) / (1 + theirs.owners) }
  }

  private kept (id: EndpointId): EndpointState {
    const known = this.endpoints.get(id)
    if (known !== undefined) return known
    const kept = { responses: ResponseStats.create(), ejection: EjectionLevel.none, atWork: 0, trialAt: -Infinity }
    this.endpoints.set(id, kept)
    return kept
  }
}
