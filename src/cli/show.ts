/** `agatepond show`: prints one version of the configuration. */

import { command, number, positional } from 'cmd-ts'
import { openConfigStore } from './configstore.ts'
import { documentOf } from './document.ts'
import { options } from './options.ts'
import { requiredSettings } from './requiredsettings.ts'

export const show = command({
  name: 'show',
  description: 'Prints the whole document of a version as JSON; it can be edited and submitted as a patch.',
  examples: [{ description: 'Version 7', command: 'agatepond show --settings agatepond.toml 7' }],
  args: {
    settings: options.settings,
    version: positional({ type: number, displayName: 'version', description: 'the number of the version' })
  },
  handler: async ({ settings, version }) => {
    const document = await documentOf(openConfigStore(requiredSettings(settings)), version)
    process.stdout.write(`${JSON.stringify(document, undefined, 2)}\n`, () => process.exit())
  }
})
