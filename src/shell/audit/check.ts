/** Verifies the batch chains and the promises of the audit records of a period. */

import { checkPromises } from '../../core/audit/promises.ts'
import { checkSequence } from '../../core/audit/sequence.ts'
import { digest } from './digest.ts'
import type { BatchKey } from './batchkey.ts'
import type { AuditReader } from './reader.ts'

type Read = Awaited<ReturnType<AuditReader['readAll']>>[number]
type Page = ReturnType<Read['page']['_unsafeUnwrap']>

/** A readable batch and its key. */
interface KeyedPage {
  readonly key: string
  readonly page: Page
}

interface Report {
  readonly batches: number
  readonly records: number
  /** Number of records that the processes reported as dropped. */
  readonly dropped: number
  readonly kept: ReturnType<typeof checkPromises>['kept']
  readonly problems: readonly string[]
  readonly notes: readonly string[]
}

/** Assumed maximum difference between the clocks of two hosts. */
const MAX_CLOCK_SKEW_MS = 100

/** Checks batches as read from the store: whether they can be read, match their keys, form complete chains and keep the promises made to callers. */
export function checkRecords (reads: readonly Read[]): Report {
  const unreadable = reads.flatMap(({ key, page }) => page.isErr() ? [`${key.text}: ${page.error}`] : [])
  const misnamed = reads.flatMap(({ key, page }) => page.isOk() ? keyMismatches(key, page.value) : [])
  const pages = reads.flatMap(({ key, page }) => page.isOk() ? [{ key: key.text, page: page.value }] : [])
  const chains = chainsOf(pages).map(chain => checkSequence(digest, chain))
  const records = pages.flatMap(({ page }) => page.fields.records)
  const { kept, broken } = checkPromises(records, MAX_CLOCK_SKEW_MS)
  return {
    batches: reads.length,
    records: records.length,
    dropped: pages.flatMap(({ page }) => page.fields.gaps).reduce((sum, gap) => sum + gap.count, 0),
    kept,
    problems: [...unreadable, ...misnamed, ...chains.flatMap(one => one.problems), ...broken],
    notes: chains.flatMap(one => one.notes)
  }
}

/** Detects a batch stored under the key of another: its header has a different process or sequence number. */
function keyMismatches (key: BatchKey, { fields: { header } }: Page): string[] {
  const isMatch = header.host === key.host && header.incarnation === key.incarnation && header.sequence === key.sequence
  return isMatch ? [] : [`${key.text}: it holds batch ${header.sequence} of ${header.host}/${header.incarnation}: batches were exchanged`]
}

/** Groups the batches by process, ordered by sequence number. */
function chainsOf (pages: readonly KeyedPage[]): ReadonlyArray<readonly KeyedPage[]> {
  const chains = new Map<string, KeyedPage[]>()
  for (const one of pages) {
    const { host, incarnation } = one.page.fields.header
    const name = `${host}/${incarnation}`
    const chain = chains.get(name)
    if (chain === undefined) chains.set(name, [one])
    else chain.push(one)
  }
  return [...chains.values()].map(chain => chain.sort((a, b) => a.page.fields.header.sequence - b.page.fields.header.sequence))
}
