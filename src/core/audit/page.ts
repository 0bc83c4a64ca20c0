/** A batch as read back from the store, parsed and verified. */

import { err, ok, type Result } from 'neverthrow'
import * as z from 'zod'
import { Chain } from './chain.ts'
import { AuditRecord } from './record.ts'

const header = z.object({
  batch: z.object({
    format: z.literal(1),
    host: z.string(),
    incarnation: z.string(),
    sequence: z.int(),
    cutAt: z.number(),
    previous: z.string(),
    entries: z.int()
  })
})
const gap = z.object({ count: z.int(), from: z.number(), to: z.number() })

type Header = z.output<typeof header>['batch']
type Gap = z.output<typeof gap>

const ENTRY = /^\{"hash":"([^"]*)",(.*)\}$/s

interface Fields {
  readonly header: Header
  readonly records: readonly AuditRecord[]
  readonly gaps: readonly Gap[]
  readonly isClosed: boolean
  /** The hash of the last entry. */
  readonly last: string
  /** Inconsistencies within the batch; empty when it verifies. */
  readonly problems: readonly string[]
}

/** One batch, checked against its own hash chain. Immutable. */
export class Page {
  private constructor (readonly fields: Fields) {}

  /** The error says why the batch can't be read. */
  static parse (digest: Parameters<typeof Chain.from>[0], text: string): Result<Page, string> {
    const [first, ...lines] = text.split('\n').filter(line => line !== '')
    const head = header.safeParse(parseJson(first ?? ''))
    if (!head.success) return err('its first line is damaged')
    const read = { records: [] as AuditRecord[], gaps: [] as Gap[], isClosed: false, problems: [] as string[] }
    let chain = Chain.from(digest, head.data.batch.previous)
    for (const [i, line] of lines.entries()) {
      const [, hash, body] = ENTRY.exec(line) ?? []
      const value = parseJson(`{${body}}`) as Record<string, unknown> | undefined
      if (body === undefined || value === undefined) return err(`its entry ${i + 1} is damaged`)
      chain = chain.with(body)
      if (chain.last !== hash) {
        read.problems.push(`the hash of entry ${i + 1} doesn't match the entries before it: an entry was changed, removed or inserted`)
        chain = Chain.from(digest, hash!)
      }
      addEntry(value, read)
    }
    if (lines.length !== head.data.batch.entries) read.problems.push(`it has ${lines.length} entries in place of ${head.data.batch.entries}`)
    return ok(new Page({ header: head.data.batch, ...read, last: chain.last }))
  }
}

function addEntry (value: Record<string, unknown>, read: { records: AuditRecord[], gaps: Gap[], isClosed: boolean, problems: string[] }): void {
  if (value.closed === true) {
    read.isClosed = true
    return
  }
  const dropped = gap.safeParse(value.dropped)
  if (dropped.success) {
    read.gaps.push(dropped.data)
    return
  }
  const record = AuditRecord.parse(value.record)
  if (record === undefined) read.problems.push('an entry is neither a record nor a count of dropped records')
  else read.records.push(record)
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
