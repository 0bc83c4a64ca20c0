/** `agatepond serve`: runs a proxy. */

import { command, option, string } from 'cmd-ts'
import { Node } from '../shell/node/node.ts'
import { exitCodes } from './exitcodes.ts'
import { readTlsKeys } from './tlskeys.ts'
import { readSettings } from './settingsfile.ts'

const FLUSH_DELAY_MS = 100

export const serve = command({
  name: 'serve',
  description: 'Runs a proxy until SIGTERM, which lets it finish what is in progress.',
  examples: [{ description: 'Run the proxy of this host', command: 'agatepond serve --settings agatepond.toml' }],
  args: { settings: option({ type: string, long: 'settings', description: 'the settings file' }) },
  handler: async ({ settings: file }) => {
    const settings = readSettings(file)
    if (settings.isErr()) {
      process.stderr.write(`${settings.error}\n`)
      process.exit(exitCodes.usage)
    }
    readTlsKeys(settings.value)
    const stopped = new AbortController()
    const node = await Node.start(settings.value, stopped.signal)
    process.once('SIGTERM', () => {
      node.drain().then(() => {
        // Lets the last writes to callers and peers leave before the sockets are closed.
        setTimeout(() => {
          node.audit.flush(settings.value.audit.flush).then(() => {
            stopped.abort()
            process.exit(exitCodes.done)
          })
        }, FLUSH_DELAY_MS)
      })
    })
  }
})
