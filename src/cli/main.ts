/** The command line: one binary, one subcommand for each task. */

import { binary, runSafely, subcommands } from 'cmd-ts'
import { check } from './check.ts'
import { diff } from './diff.ts'
import { exit } from './exit.ts'
import { explain } from './explain.ts'
import { history } from './history.ts'
import { patch } from './patch.ts'
import { serve } from './serve.ts'
import { show } from './show.ts'
import { status } from './status.ts'
import { version } from './version.ts'

const app = subcommands({
  name: 'agatepond',
  description: 'A database proxy with session consistency.',
  cmds: {
    serve,
    check,
    patch,
    history,
    show,
    diff,
    status,
    explain,
    version
  }
})

runSafely(binary(app), process.argv).then(result => {
  if (result._tag === 'ok') return
  const { exitCode, into, message } = result.error.config
  process[into].write(`${message}\n`)
  process.exit(exitCode === 0 ? exit.done : exit.usage)
})
