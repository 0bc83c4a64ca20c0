/** `agatepond burn`: reports the burn rate of error budgets, from the audit records. */

import { writeFileSync } from 'node:fs'
import { command, number, option, optional, string } from 'cmd-ts'
import { burnPage } from '../core/burn/page.ts'
import type { ServiceLevel } from '../core/burn/servicelevel.ts'
import { burnTable } from '../core/burn/table.ts'
import { parseConfig } from '../core/config/document.ts'
import { measureBurn } from '../shell/audit/burn.ts'
import type { ConfigStore } from '../shell/config/store.ts'
import { openAuditReader } from './auditreader.ts'
import { openConfigStore } from './configstore.ts'
import { exitCodes } from './exitcodes.ts'
import { options } from './options.ts'
import { readStore } from './readstore.ts'
import { requiredSettings } from './requiredsettings.ts'
import { stop } from './stop.ts'

/** Limits the time and the store reads that a report takes. */
const DEFAULT_MAX_BATCHES = 20_000
const DATE_LENGTH = 16

export const burn = command({
  name: 'burn',
  description: 'Reports what is left of the error budgets and how fast they burn.',
  examples: [
    { description: 'A table', command: 'agatepond burn --settings agatepond.toml' },
    { description: 'A page with charts', command: 'agatepond burn --settings agatepond.toml --html burn.html' }
  ],
  args: {
    settings: options.settings,
    json: options.json,
    html: option({ type: optional(string), long: 'html', description: 'write a page with charts to this file' }),
    most: option({ type: number, long: 'most', defaultValue: () => DEFAULT_MAX_BATCHES, description: 'read at most so many batches, the newest; 20000 when absent' })
  },
  handler: async ({ settings: file, json, html, most }) => {
    const settings = requiredSettings(file)
    const levels = await currentServiceLevels(openConfigStore(settings))
    if (levels.length === 0) stop('the configuration has no service levels; patch its section serviceLevels', exitCodes.refused)
    const report = await readStore(async () => await measureBurn({ ...openAuditReader(settings), levels, now: Date.now(), most }))
    if (html !== undefined) writeFileSync(html, burnPage(report, dateOf))
    process.stdout.write(json ? `${JSON.stringify({ ...report.source, levels: report.levels })}\n` : `${burnTable(report, dateOf)}\n`)
    if (report.source.unreadable.length > 0) stop('some batches could not be read, so the figures miss them; see agatepond explain --verify', exitCodes.refused)
  }
})

/** The service levels of the newest configuration, which also apply to records of older ones. */
async function currentServiceLevels (store: ConfigStore): Promise<readonly ServiceLevel[]> {
  const newest = await readStore(async () => await store.newest())
  if (newest === undefined) return []
  const document = await readStore(async () => await store.document(newest))
  return parseConfig(newest.version, JSON.parse(document)).match(config => config.serviceLevels, problem => stop(problem, exitCodes.refused))
}

/** Formats a time in UTC, to the minute. */
function dateOf (at: number): string {
  return new Date(at).toISOString().slice(0, DATE_LENGTH).replace('T', ' ')
}
