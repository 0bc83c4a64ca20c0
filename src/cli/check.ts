/** `agatepond check`: checks a settings file. */

import { command, positional, string } from 'cmd-ts'
import { exitCodes } from './exitcodes.ts'
import { readSettings } from './settingsfile.ts'

export const check = command({
  name: 'check',
  description: 'Checks a settings file and starts nothing.',
  examples: [{ description: 'Check the settings of this host', command: 'agatepond check agatepond.toml' }],
  args: { file: positional({ type: string, displayName: 'settings', description: 'the settings file' }) },
  handler: ({ file }) => {
    const settings = readSettings(file)
    if (settings.isOk()) {
      process.stdout.write(`${file}: ok\n`)
      return
    }
    process.stderr.write(`${settings.error}\n`)
    process.exit(exitCodes.usage)
  }
})
