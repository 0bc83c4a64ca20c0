/** `agatepond version`. */

import { command } from 'cmd-ts'
import manifest from '../../package.json'

export const version = command({
  name: 'version',
  description: 'Prints the version of this program.',
  args: {},
  handler: () => { process.stdout.write(`agatepond ${manifest.version}\n`) }
})
