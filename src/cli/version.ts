/** `agatepond version`: prints the version of this program. */

import { command } from 'cmd-ts'
import manifest from '../../package.json'

export const version = command({
  name: 'version',
  description: 'Prints the version of this program.',
  examples: [{ description: 'Which program runs on this host', command: 'agatepond version' }],
  args: {},
  handler: () => { process.stdout.write(`agatepond ${manifest.version}\n`) }
})
