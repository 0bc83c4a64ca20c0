/**
 * Submits one configuration patch with optimistic concurrency: the row of
 * version N + 1 is created only if it is absent, so that of two patches based
 * on N one is accepted and the other gets the changes since N. After a lost
 * response, the row shows by its patch id which patch created it.
 */

import { createHash } from 'node:crypto'
import { Change } from '../../core/config/change.ts'
import { Difference } from '../../core/config/difference.ts'
import { parseConfig } from '../../core/config/document.ts'
import type { ConfigVersion } from '../../core/id/version.ts'
import type { Json } from '../../core/json.ts'
import type { Revision } from './revision.ts'
import type { ConfigStore } from './store.ts'
import type { SubmissionResult } from './submissionresult.ts'

interface Patch {
  readonly base: ConfigVersion
  /** Idempotency key, chosen by the operator's command. */
  readonly id: string
  readonly by: string
  readonly why: string
  readonly at: number
  /** A whole document, or `{ change: … }` with only the changed parts. */
  readonly body: Json
}

const MAX_ATTEMPTS = 5
const RETRY_DELAY_MS = 300
const MAX_LISTED_REVISIONS = 1000
const EMPTY_DOCUMENT: Json = { groups: [], pools: [] }

/** One patch and the store to which it is submitted. */
export class Submission {
  private constructor (private readonly store: ConfigStore, private readonly patch: Patch) {}

  static of (store: ConfigStore, patch: Patch): Submission {
    return new Submission(store, patch)
  }

  /** Retries if the store does not respond; every step is idempotent under the same patch id. */
  async run (): Promise<SubmissionResult> {
    let cause = ''
    for (let i = 0; i < MAX_ATTEMPTS; i++) {
      if (i > 0) await new Promise(resolve => { setTimeout(resolve, RETRY_DELAY_MS) })
      try {
        return await this.attempt()
      } catch (err) {
        cause = (err as Error).message
      }
    }
    return { kind: 'unknown', cause }
  }

  /**
   * Reads before it writes: an earlier run of the command, or an attempt whose
   * response was lost, may already have created the version.
   */
  private async attempt (): Promise<SubmissionResult> {
    const { base } = this.patch
    const since = await this.store.list(base, MAX_LISTED_REVISIONS)
    if (since.length > 0) return await this.settle(since)
    const before = await this.baseDocument()
    if (before === undefined) return { kind: 'invalid', problem: `version ${base} doesn't exist; see the newest one with "agatepond history"` }
    const after = documentAfter(before, this.patch.body)
    if (after.isErr()) return { kind: 'invalid', problem: after.error }
    const version = base + 1 as ConfigVersion
    const config = parseConfig(version, after.value)
    if (config.isErr()) return { kind: 'invalid', problem: config.error }
    const { id, by, why, at } = this.patch
    const outcome = await this.store.create(version, { id, by, why, at, digest: this.digest }, JSON.stringify(after.value))
    if (outcome === 'created') return { kind: 'accepted', version }
    return await this.settle(await this.store.list(base, MAX_LISTED_REVISIONS))
  }

  /** Determines the result when versions above the base exist: from this patch or from others. */
  private async settle (since: readonly Revision[]): Promise<SubmissionResult> {
    const own = since.find(({ record }) => record.id === this.patch.id)
    if (own === undefined) return await this.outdated(since)
    const { version, record } = own
    return record.digest === this.digest ? { kind: 'accepted', version } : { kind: 'reused', version }
  }

  private async outdated (since: readonly Revision[]): Promise<SubmissionResult> {
    const newest = await this.store.newest() ?? since.at(-1)!
    const before = await this.baseDocument()
    const after = JSON.parse(await this.store.document(newest)) as Json
    return { kind: 'outdated', newest: newest.version, changes: Difference.between(before ?? EMPTY_DOCUMENT, after).toString() }
  }

  private async baseDocument (): Promise<Json | undefined> {
    if (this.patch.base === 0) return EMPTY_DOCUMENT
    const revision = await this.store.at(this.patch.base)
    return revision === undefined ? undefined : JSON.parse(await this.store.document(revision)) as Json
  }

  private get digest (): string {
    return createHash('sha256').update(JSON.stringify(this.patch.body)).digest('hex')
  }
}

function documentAfter (before: Json, body: Json): ReturnType<Change['apply']> {
  const change = (body as { readonly change?: Json } | null)?.change
  return change === undefined ? Change.between(before, body).apply(before) : Change.of(change).apply(before)
}
