/** `agatepond burn`: reports how fast the service levels burn their budgets, from the audit records. */

import { writeFileSync } from 'node:fs'
import { command, flag, number, option, optional, string } from 'cmd-ts'
import { burnPage } from '../core/burn/html.ts'
import { BurnReport } from '../core/burn/report.ts'
import type { ServiceLevel } from '../core/burn/servicelevel.ts'
import { burnTable } from '../core/burn/table.ts'
import { parseConfig } from '../core/config/document.ts'
import type { ConfigVersion } from '../core/id/version.ts'
import { measureBurn } from '../shell/audit/burn.ts'
import { AuditReader } from '../shell/audit/reader.ts'
import { DynamoTable } from '../shell/platform/dynamotable.ts'
import { S3Store } from '../shell/platform/s3store.ts'
import { exit } from './exit.ts'
import { readSettings } from './settingsfile.ts'

/** At about 2,000 reads a second a report then takes some ten seconds of the store's reads. */
const MOST_BATCHES = 20_000
const DATE_CHARACTERS = 16

type Settings = ReturnType<ReturnType<typeof readSettings>['_unsafeUnwrap']>

export const burn = command({
  name: 'burn',
  description: 'Reports what is left of the error budgets and how fast they burn.',
  examples: [
    { description: 'A table', command: 'agatepond burn --settings agatepond.toml' },
    { description: 'A page with charts', command: 'agatepond burn --settings agatepond.toml --html burn.html' }
  ],
  args: {
    settings: option({ type: string, long: 'settings', description: 'the settings file' }),
    json: flag({ long: 'json', description: 'print JSON' }),
    html: option({ type: optional(string), long: 'html', description: 'write a page with charts to this file' }),
    most: option({ type: number, long: 'most', defaultValue: () => MOST_BATCHES, description: 'read at most so many batches, the newest; 20000 when absent' })
  },
  handler: async ({ settings: file, json, html, most }) => {
    const settings = readSettings(file).match(value => value, problem => stop(problem, exit.usage))
    const report = await reportOf(settings, most).catch((err: Error) =>
      stop(`the store does not answer (${err.message}); try again`, exit.unknown))
    if (html !== undefined) writeFileSync(html, burnPage(report, dateOf))
    process.stdout.write(json ? `${JSON.stringify({ ...report.source, levels: report.levels })}\n` : `${burnTable(report, dateOf)}\n`)
    if (report.source.unreadable.length > 0) stop('some batches could not be read, so the figures miss them; see agatepond explain --verify', exit.refused)
  }
})

async function reportOf (settings: Settings, most: number): Promise<BurnReport> {
  const { objectStore: url, bucket, region, timeout: timeoutMs } = settings.platform
  const levels = await levelsInForce(settings)
  if (levels.length === 0) stop('the configuration has no service levels; patch its section serviceLevels', exit.refused)
  const reader = AuditReader.of(S3Store.open({ url, bucket, region, timeoutMs }, new AbortController().signal))
  return await measureBurn(reader, levels, Date.now(), most)
}

/** The newest configuration's, also for records of older ones: the report says what today's promises cost. */
async function levelsInForce ({ platform }: Settings): Promise<readonly ServiceLevel[]> {
  const { tableService: url, table, region, timeout: timeoutMs } = platform
  const row = await DynamoTable.open({ url, table, region, timeoutMs }, new AbortController().signal).newest('config')
  if (row === undefined) return []
  return parseConfig(Number(row.sk) as ConfigVersion, JSON.parse(row.body)).match(config => config.serviceLevels, problem => stop(problem, exit.refused))
}

/** To the minute, in UTC. */
function dateOf (at: number): string {
  return new Date(at).toISOString().slice(0, DATE_CHARACTERS).replace('T', ' ')
}

function stop (problem: string, code: number): never {
  process.stderr.write(`${problem}\n`)
  process.exit(code)
}
