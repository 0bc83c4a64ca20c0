/** Creates the command `explain`, which explains what happened to a request, from the audit records. */

import { command, flag, option, optional, positional, string } from 'cmd-ts'
import { AuditId } from '../core/audit/id.ts'
import type { AuditRecord } from '../core/audit/record.ts'
import { explanationOf } from '../core/audit/explanation.ts'
import { checkRecords } from '../shell/audit/check.ts'
import type { AuditReader } from '../shell/audit/reader.ts'
import { exitCodes } from './exitcodes.ts'
import { options } from './options.ts'
import { readStore } from './readstore.ts'
import { stop } from './stop.ts'
import { parseTime } from './time.ts'

interface Selection {
  readonly since: string
  readonly request?: string
  readonly session?: string
  readonly once?: string
  readonly json: boolean
}

/** `open` returns the reader for a settings file, and ends the command if the settings are invalid. */
export function explainCommand (open: (settings: string) => AuditReader) {
  return command({
    name: 'explain',
    description: 'Tells what happened to a request, lists requests, or checks the records.',
    examples: [
      { description: 'One request, by the id that its error named', command: 'agatepond explain --settings agatepond.toml ID' },
      { description: "One request, by the caller's own id of it", command: 'agatepond explain --settings agatepond.toml --request 4f1c0a9e22b7d310' },
      { description: 'The requests of a session', command: 'agatepond explain --settings agatepond.toml --session line-7 --since 30m' },
      { description: 'Check chains and promises', command: 'agatepond explain --settings agatepond.toml --verify --since 1d' }
    ],
    args: {
      settings: options.settings,
      id: positional({ type: optional(string), displayName: 'id', description: 'the id of a request' }),
      request: option({ type: optional(string), long: 'request', description: "the caller's own id of a request, where the protocol has one" }),
      session: option({ type: optional(string), long: 'session', description: 'only requests of this session' }),
      once: option({ type: optional(string), long: 'once', description: 'only requests with this idempotency key' }),
      since: option({ type: string, long: 'since', defaultValue: () => '1h', description: 'an age or a date; 1h when absent' }),
      verify: flag({ long: 'verify', description: 'check the chains and the promises of the period' }),
      json: options.json
    },
    handler: async ({ settings, id, verify, ...choice }) => {
      const reader = open(settings)
      if (id !== undefined) return await explainOne(reader, id, choice.json)
      if (verify) return await verifyAll(reader, choice)
      await listAll(reader, choice)
    }
  })
}

async function explainOne (reader: AuditReader, text: string, isJson: boolean): Promise<void> {
  const id = AuditId.parse(text) ?? stop(`"${text}" isn't the id of a request; copy it from the text of the error`, exitCodes.usage)
  const found = (await readStore(async () => await reader.find(id))).match(value => value, problem => stop(`${text}: ${problem}`, exitCodes.refused))
  const { record, key, problems } = found
  print(isJson ? [JSON.stringify(record)] : descriptionOf(record, key))
  if (problems.length > 0) stop(`${key} can't be trusted: ${problems.join('; ')}`, exitCodes.refused)
}

async function listAll (reader: AuditReader, choice: Selection): Promise<void> {
  const reads = await readPeriod(reader, choice)
  const records = reads.flatMap(({ page }) => page.isOk() ? page.value.fields.records : [])
    .filter(({ fields }) => choice.request === undefined || fields.request === choice.request)
    .filter(({ fields }) => choice.session === undefined || fields.session === choice.session)
    .filter(({ fields }) => choice.once === undefined || fields.once === choice.once)
    .sort((a, b) => a.fields.at - b.fields.at)
  print(records.flatMap(record => choice.json ? [JSON.stringify(record)] : choice.request === undefined ? [summaryOf(record)] : descriptionOf(record)))
  const { problems, dropped } = checkRecords(reads)
  if (dropped > 0) process.stderr.write(`${dropped} records of this period were dropped by their processes\n`)
  const unreadable = reads.flatMap(({ key, page }) => page.isErr() ? [`${key.text}: ${page.error}`] : [])
  if (unreadable.length > 0) stop(unreadable.join('\n'), exitCodes.refused)
  if (problems.length > 0) stop(`${problems.length} problems; see agatepond explain --verify`, exitCodes.refused)
  if (records.length === 0) stop('no record of this period fits', exitCodes.refused)
}

async function verifyAll (reader: AuditReader, choice: Selection): Promise<void> {
  const report = checkRecords(await readPeriod(reader, choice))
  const { batches, records, dropped, kept, problems, notes } = report
  print(choice.json
    ? [JSON.stringify(report)]
    : [
        `${records} records in ${batches} batches; ${dropped} dropped by their processes`,
        ...Object.entries(kept).map(([promise, count]) => `${promise}: shown as kept ${count} times`),
        ...notes.map(note => `note: ${note}`),
        ...problems.map(problem => `problem: ${problem}`),
        `problems: ${problems.length}`
      ])
  if (problems.length > 0) process.exit(exitCodes.refused)
  if (records === 0) stop('no record in this period, so nothing was checked', exitCodes.refused)
}

async function readPeriod (reader: AuditReader, { since }: Selection): ReturnType<AuditReader['readAll']> {
  const now = Date.now()
  const from = parseTime(since, now).match(value => value, problem => stop(problem, exitCodes.usage))
  return await readStore(async () => await reader.readAll(await reader.keys(from, now)))
}

/** `key` names the batch that holds the record. */
function descriptionOf (record: AuditRecord, key?: string): readonly string[] {
  const from = key === undefined ? '' : `, from ${key}`
  return [`Request ${record.fields.id}, ${dateOf(record)}${from}`, ...explanationOf(record)]
}

function summaryOf (record: AuditRecord): string {
  const { id, kind, outcome, tookMs, session, attempts } = record.fields
  const where = attempts.map(attempt => attempt.endpoint === '' ? 'nowhere' : attempt.endpoint).join(' > ')
  return `${dateOf(record)}  ${id}  session ${session}  ${kind}  ${where}  ${outcome ?? 'no outcome'}  ${tookMs ?? 0} ms`
}

function dateOf ({ fields }: AuditRecord): string {
  return new Date(fields.at).toISOString()
}

function print (lines: readonly string[]): void {
  if (lines.length > 0) process.stdout.write(`${lines.join('\n')}\n`)
}
