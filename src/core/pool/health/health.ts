/** What this owner makes of a group's endpoints: who is well, who is put aside for reads, and who is to be tried again. */

import type { EndpointId } from '../../id/endpoint.ts'
import type { Instant } from '../../id/instant.ts'
import type { OthersLoad } from '../load/othersload.ts'
import { Answers } from './answers.ts'
import { Degree } from './degree.ts'
import { judge } from './judgement.ts'

interface Kept {
  readonly answers: Answers
  degree: Degree
  /** Statements that this owner has there now. */
  atWork: number
  triedAt: number
}

interface Looked {
  readonly id: EndpointId
  readonly isPrimary: boolean
}

interface Change {
  readonly id: EndpointId
  readonly isAside: boolean
  /** Over all owners. */
  readonly failing: number
  readonly answerMs: number | undefined
}

type Ending = 'done' | 'failed' | 'notRun'

/** About as old as the others' reports are; between two looks hardly anything changes. */
const LOOK_MS = 50
/** An endpoint that is put aside is tried so often by all owners together: enough to know within half a second that it's well, and few enough for one that is many times slower. */
const TRY_MS = 100

/** Changes in place: it's touched by every statement. */
export class Health {
  private readonly endpoints = new Map<EndpointId, Kept>()
  private lookedAt = -Infinity

  private constructor () {}

  static create (): Health {
    return new Health()
  }

  answers (id: EndpointId): Answers {
    return this.kept(id).answers
  }

  /** Statements that this owner has at the endpoint now. */
  atWork (id: EndpointId): number {
    return this.endpoints.get(id)?.atWork ?? 0
  }

  /** A statement goes out; the answer is to be called with how it ended. `crowd`: statements there for each place, with this one. */
  sent (id: EndpointId, crowd: number, sentAt: Instant): (ending: Ending, now: Instant) => void {
    const kept = this.kept(id)
    kept.atWork++
    return (ending, now) => {
      kept.atWork--
      if (ending === 'done') kept.answers.done(now - sentAt, crowd, now)
      if (ending === 'failed') kept.answers.failed(now)
    }
  }

  /** Judges each endpoint anew, if the last time is long enough ago; yields those that were put aside and those that are back. */
  look (endpoints: readonly Looked[], others: OthersLoad, now: Instant): readonly Change[] {
    if (now - this.lookedAt < LOOK_MS) return []
    this.lookedAt = now
    const seen = endpoints.map(one => ({ ...one, ...this.overall(one.id, others, now) }))
    return seen.flatMap(one => {
      const kept = this.kept(one.id)
      const before = kept.degree
      kept.degree = before.judged(judge(one, seen.filter(({ id }) => id !== one.id)), now)
      const isNews = kept.degree.isAside ? !before.isAside : kept.degree.part === 1 && before.part < 1
      return isNews ? [{ id: one.id, isAside: kept.degree.isAside, failing: one.failing, answerMs: one.answerMs }] : []
    })
  }

  /** The part of its reads that the endpoint keeps; from 0 to 1. */
  part (id: EndpointId): number {
    return this.endpoints.get(id)?.degree.part ?? 1
  }

  /** Whether this owner's turn is come to try an endpoint that is put aside. `owners`: others that try it as well. */
  isTryDue (id: EndpointId, owners: number, now: Instant): boolean {
    const kept = this.endpoints.get(id)
    return kept !== undefined && kept.degree.isAside && now - kept.triedAt >= TRY_MS * (1 + owners)
  }

  tried (id: EndpointId, now: Instant): void {
    this.kept(id).triedAt = now
  }

  /** The endpoint is gone, or began anew under its id. */
  forget (id: EndpointId): void {
    this.endpoints.delete(id)
  }

  /** The means over this owner and the others, as far as they know. */
  private overall (id: EndpointId, others: OthersLoad, now: Instant): { failing: number, answerMs: number | undefined } {
    const { answers } = this.kept(id)
    const they = others.at(id, now)
    const own = answers.isHeard(now) ? 1 : 0
    const ownMs = answers.answerMs(now)
    const failing = own + they.owners === 0 ? 0 : (own * answers.failing(now) + they.owners * they.failing) / (own + they.owners)
    return { failing, answerMs: ownMs === undefined || they.answerMs === undefined ? ownMs ?? they.answerMs : (ownMs + they.owners * they.answerMs) / (1 + they.owners) }
  }

  private kept (id: EndpointId): Kept {
    const known = this.endpoints.get(id)
    if (known !== undefined) return known
    const kept = { answers: Answers.create(), degree: Degree.none, atWork: 0, triedAt: -Infinity }
    this.endpoints.set(id, kept)
    return kept
  }
}
