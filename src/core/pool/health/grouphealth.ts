/** What this owner makes of a group's endpoints: who is well, who is put aside for reads, and who is to be tried again. */

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
  /** Over all owners. */
  readonly failing: number
  readonly answerMs: number | undefined
}

type Outcome = 'done' | 'failed' | 'notRun'

/** About as old as the others' reports are; between two looks hardly anything changes. */
const EVALUATION_INTERVAL_MS = 50
/** An endpoint that is put aside is tried so often by all owners together: enough to know within half a second that it's well, and few enough for one that is many times slower. */
const TRIAL_INTERVAL_MS = 100

/** Changes in place: it's touched by every statement. */
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

  /** A statement goes out; the answer is to be called with how it ended. `crowd`: statements there for each place, with this one. */
  sent (id: EndpointId, crowd: number, sentAt: Instant): (ending: Outcome, now: Instant) => void {
    const kept = this.kept(id)
    kept.atWork++
    return (ending, now) => {
      kept.atWork--
      if (ending === 'done') kept.responses.done(now - sentAt, crowd, now)
      if (ending === 'failed') kept.responses.failed(now)
    }
  }

  /** Judges each endpoint anew, if the last time is long enough ago; yields those that were put aside and those that are back. */
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

  /** The part of its reads that the endpoint keeps; from 0 to 1. */
  part (id: EndpointId): number {
    return this.endpoints.get(id)?.ejection.part ?? 1
  }

  /** Whether this owner's turn is come to try an endpoint that is put aside. `owners`: others that try it as well. */
  isTrialDue (id: EndpointId, owners: number, now: Instant): boolean {
    const kept = this.endpoints.get(id)
    return kept !== undefined && kept.ejection.isEjected && now - kept.trialAt >= TRIAL_INTERVAL_MS * (1 + owners)
  }

  recordTrial (id: EndpointId, now: Instant): void {
    this.kept(id).trialAt = now
  }

  /** The endpoint is gone, or began anew under its id. */
  forget (id: EndpointId): void {
    this.endpoints.delete(id)
  }

  /** The means over this owner and the others, as far as they know. */
  private combinedStats (id: EndpointId, others: OthersLoad, now: Instant): { failing: number, answerMs: number | undefined } {
    const { responses: answers } = this.kept(id)
    const they = others.at(id, now)
    const own = answers.hasRecentSample(now) ? 1 : 0
    const ownMs = answers.answerMs(now)
    const failing = own + they.owners === 0 ? 0 : (own * answers.failing(now) + they.owners * they.failing) / (own + they.owners)
    return { failing, answerMs: ownMs === undefined || they.answerMs === undefined ? ownMs ?? they.answerMs : (ownMs + they.owners * they.answerMs) / (1 + they.owners) }
  }

  private kept (id: EndpointId): EndpointState {
    const known = this.endpoints.get(id)
    if (known !== undefined) return known
    const kept = { responses: ResponseStats.create(), ejection: EjectionLevel.none, atWork: 0, trialAt: -Infinity }
    this.endpoints.set(id, kept)
    return kept
  }
}
