/** Verifies that the batches of one process follow each other. */

import type { HostId } from '../id/host.ts'
import { Chain } from './chain.ts'
import type { Page } from './page.ts'

interface StoredBatch {
  /** The batch's key in the store. */
  readonly key: string
  readonly page: Page
}

interface Findings {
  /** Proof that a record was changed, removed or exchanged. */
  readonly problems: readonly string[]
  /** What the batches alone can't decide. */
  readonly notes: readonly string[]
}

/** `batches` are those of one incarnation, ordered by sequence number. */
export function checkSequence (digest: Parameters<typeof Chain.begin>[0], batches: readonly StoredBatch[]): Findings {
  const problems = batches.flatMap(({ key, page }) => page.fields.problems.map(problem => `${key}: ${problem}`))
  for (const [i, { key, page }] of batches.entries()) {
    const problem = linkProblem(digest, page, batches[i - 1]?.page)
    if (problem !== undefined) problems.push(`${key}: ${problem}`)
  }
  return { problems, notes: notesOf(batches) }
}

function linkProblem (digest: Parameters<typeof Chain.begin>[0], page: Page, before: Page | undefined): string | undefined {
  const { sequence, host, incarnation, previous } = page.fields.header
  if (sequence === 1) {
    const { last } = Chain.begin(digest, host as HostId, incarnation)
    return previous === last ? undefined : "it says it's the first, but doesn't begin its process's chain"
  }
  if (before === undefined) return undefined
  const missing = sequence - before.fields.header.sequence - 1
  if (missing > 0) return `${missing} before it missing: it's number ${sequence} and follows number ${before.fields.header.sequence}`
  return previous === before.fields.last ? undefined : `it doesn't follow number ${before.fields.header.sequence}: one of the two was exchanged or changed`
}

function notesOf (batches: readonly StoredBatch[]): string[] {
  const [first] = batches
  const last = batches.at(-1)
  if (first === undefined || last === undefined) return []
  const { host, incarnation, sequence } = first.page.fields.header
  const name = `${host}/${incarnation}`
  const notes = []
  if (sequence > 1) notes.push(`${name}: batches before number ${sequence} weren't read; read from further back to check the link to them`)
  if (!last.page.fields.isClosed) {
    notes.push(`${name}: the chain isn't closed after number ${last.page.fields.header.sequence}: ` +
      'the process still runs, or ended without writing its newest records')
  }
  return notes
}
