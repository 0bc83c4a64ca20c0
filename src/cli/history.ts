/** `agatepond history`: lists accepted versions of the configuration with author and reason. */

import { command, number, option } from 'cmd-ts'
import type { ConfigVersion } from '../core/id/version.ts'
import type { Revision } from '../shell/config/revision.ts'
import type { ConfigStore } from '../shell/config/store.ts'
import { openConfigStore } from './configstore.ts'
import { options } from './options.ts'
import { readStore } from './readstore.ts'
import { requiredSettings } from './requiredsettings.ts'

const DEFAULT_COUNT = 20

export const history = command({
  name: 'history',
  description: 'Lists the newest versions of the configuration: when, by whom, why.',
  examples: [{ description: 'The last five', command: 'agatepond history --settings agatepond.toml --last 5' }],
  args: {
    settings: options.settings,
    last: option({ type: number, long: 'last', defaultValue: () => DEFAULT_COUNT, description: `how many; ${DEFAULT_COUNT} if left out` }),
    json: options.json
  },
  handler: async ({ settings, last, json }) => {
    const store = openConfigStore(requiredSettings(settings))
    const revisions = await readStore(async () => await newestOf(store, last))
    const entries = revisions.map(entryOf)
    if (json) process.stdout.write(`${JSON.stringify(entries)}\n`)
    else for (const entry of entries) process.stdout.write(`${entry.version}  ${entry.at}  ${entry.by}  ${entry.why || '(no reason given)'}  ${entry.id}\n`)
    process.exit()
  }
})

async function newestOf (store: ConfigStore, last: number): Promise<readonly Revision[]> {
  const newest = await store.newest()
  return newest === undefined ? [] : await store.list(Math.max(0, newest.version - last) as ConfigVersion, last)
}

function entryOf ({ version, record: { at, by, why, id } }: Revision): Readonly<Record<string, string | number>> {
  return { version, at: new Date(at).toISOString(), by, why, id }
}
