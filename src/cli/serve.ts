/** `agatepond serve`: runs one proxy. */

import { command, option, string } from 'cmd-ts'
import { Node } from '../shell/node/node.ts'
import { exit } from './exit.ts'
import { keysOf } from './keysof.ts'
import { readSettings } from './settingsfile.ts'

const FLUSH_MS = 100

export const serve = command({
  name: 'serve',
  description: 'Runs a proxy until SIGTERM, which lets it finish what is in progress.',
  examples: [{ description: 'Run the proxy of this host', command: 'agatepond serve --settings agatepond.toml' }],
  args: { settings: option({ type: string, long: 'settings', description: 'the settings file' }) },
  handler: async ({ settings: file }) => {
    const settings = readSettings(file)
    if (settings.isErr()) {
      process.stderr.write(`${settings.error}\n`)
      process.exit(exit.usage)
    }
    keysOf(settings.value)
    const stopped = new AbortController()
    const node = await Node.start(settings.value, stopped.signal)
    process.once('SIGTERM', () => {
      node.drain().then(() => {
        // What was written last, to callers and peers, leaves before the sockets are closed.
        setTimeout(() => {
          node.audit.flush(settings.value.audit.flush).then(() => {
            stopped.abort()
            process.exit(exit.done)
          })
        }, FLUSH_MS)
      })
    })
  }
})
