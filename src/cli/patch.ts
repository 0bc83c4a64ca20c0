/** `agatepond patch`: submits a configuration against a numbered version. */

import { readFileSync } from 'node:fs'
import { command, number, option, positional, string } from 'cmd-ts'
import { parseConfig } from '../core/config/document.ts'
import type { ConfigVersion } from '../core/id/version.ts'
import { DynamoTable } from '../shell/platform/dynamotable.ts'
import { exit } from './exit.ts'
import { readSettings } from './settingsfile.ts'

export const patch = command({
  name: 'patch',
  description: 'Puts a configuration in force in place of the version it is based on.',
  examples: [{ description: 'The first configuration', command: 'agatepond patch --settings agatepond.toml --base 0 config.json' }],
  args: {
    settings: option({ type: string, long: 'settings', description: 'the settings file' }),
    base: option({ type: number, long: 'base', description: 'the version that the patch replaces' }),
    file: positional({ type: string, displayName: 'file', description: 'the configuration as JSON' })
  },
  handler: async ({ settings: settingsFile, base, file }) => {
    const settings = readSettings(settingsFile).match(value => value, stop)
    const body = JSON.parse(readFileSync(file, 'utf8')) as unknown
    const version = base + 1 as ConfigVersion
    parseConfig(version, body).match(value => value, problem => stop(`${file}: ${problem}`))
    const { tableService: url, table, region, timeout: timeoutMs } = settings.platform
    const service = DynamoTable.open({ url, table, region, timeoutMs }, new AbortController().signal)
    const outcome = await service.create({
      pk: 'config', sk: String(version).padStart(12, '0'), revision: 1, body: JSON.stringify(body)
    })
    if (outcome === 'created') {
      process.stdout.write(`version ${version} accepted\n`)
      return
    }
    process.stderr.write(`refused: version ${version} exists already; base your patch on the newest version\n`)
    process.exit(exit.refused)
  }
})

function stop (problem: string): never {
  process.stderr.write(`${problem}\n`)
  process.exit(exit.usage)
}
