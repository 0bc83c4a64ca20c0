/** The command line: one binary, one subcommand for each task. */

import { binary, run, subcommands } from 'cmd-ts'
import { check } from './check.ts'
import { explain } from './explain.ts'
import { patch } from './patch.ts'
import { serve } from './serve.ts'
import { version } from './version.ts'

const app = subcommands({
  name: 'agatepond',
  description: 'A database proxy with session consistency.',
  cmds: { serve, check, patch, explain, version }
})

run(binary(app), process.argv)
