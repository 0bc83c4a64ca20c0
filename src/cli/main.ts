/** Entry point of the command line. */

import { binary, runSafely, subcommands } from 'cmd-ts'
import { burn } from './burn.ts'
import { check } from './check.ts'
import { diff } from './diff.ts'
import { exitCodes } from './exitcodes.ts'
import { explain } from './explain.ts'
import { history } from './history.ts'
import { load } from './load.ts'
import { patch } from './patch.ts'
import { serve } from './serve.ts'
import { show } from './show.ts'
import { status } from './status.ts'
import { trace } from './trace.ts'
import { version } from './version.ts'

// The AWS SDK's version is pinned, and its notice about future Node versions would clutter the output of every command.
process.env.AWS_SDK_JS_NODE_VERSION_SUPPORT_WARNING_DISABLED ??= 'true'

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
    load,
    burn,
    trace,
    version
  }
})

runSafely(binary(app), process.argv).then(result => {
  if (result._tag === 'ok') return
  const { exitCode, into, message } = result.error.config
  process[into].write(`${message}\n`)
  process.exit(exitCode === 0 ? exitCodes.done : exitCodes.usage)
})
