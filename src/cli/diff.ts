/** `agatepond diff`: lists the changes between two versions of the configuration. */

import { command, number, positional } from 'cmd-ts'
import { Difference } from '../core/config/difference.ts'
import { openConfigStore } from './configstore.ts'
import { documentOf } from './document.ts'
import { options } from './options.ts'
import { requiredSettings } from './requiredsettings.ts'

export const diff = command({
  name: 'diff',
  description: 'Lists what changed between two versions: + added, - removed, ~ changed.',
  examples: [{ description: 'What version 8 changed', command: 'agatepond diff --settings agatepond.toml 7 8' }],
  args: {
    settings: options.settings,
    json: options.json,
    from: positional({ type: number, displayName: 'from', description: 'the earlier version; 0 is before the first' }),
    to: positional({ type: number, displayName: 'to', description: 'the later version' })
  },
  handler: async ({ settings, json, from, to }) => {
    const store = openConfigStore(requiredSettings(settings))
    const difference = Difference.between(await documentOf(store, from), await documentOf(store, to))
    const text = json ? JSON.stringify(difference.lines) : difference.toString()
    process.stdout.write(text === '' ? '' : `${text}\n`, () => process.exit())
  }
})
