/** `agatepond patch`: submits a change to a version of the configuration. */

import { randomUUID } from 'node:crypto'
import { userInfo } from 'node:os'
import { command, number, option, optional, positional, string } from 'cmd-ts'
import type { ConfigVersion } from '../core/id/version.ts'
import { Submission } from '../shell/config/submission.ts'
import type { SubmissionResult } from '../shell/config/submissionresult.ts'
import { openConfigStore } from './configstore.ts'
import { exitCodes } from './exitcodes.ts'
import { options } from './options.ts'
import { readPatch } from './patchfile.ts'
import { requiredSettings } from './requiredsettings.ts'
import { stop } from './stop.ts'

type ExitCode = (typeof exitCodes)[keyof typeof exitCodes]

export const patch = command({
  name: 'patch',
  description: 'Puts a changed configuration in force in place of the version it is based on.',
  examples: [
    { description: 'The first configuration', command: 'agatepond patch --settings agatepond.toml --base 0 configuration.json' },
    { description: 'A change to version 7', command: 'agatepond patch --settings agatepond.toml --base 7 --why "more crimp stations" change.toml' }
  ],
  args: {
    settings: options.settings,
    base: option({ type: number, long: 'base', description: 'the version that the patch changes; 0 for the first' }),
    id: option({ type: optional(string), long: 'id', description: 'the id of the patch; give it again to settle a lost answer' }),
    by: option({ type: optional(string), long: 'by', description: 'who makes the change; the name of the user if left out' }),
    why: option({ type: optional(string), long: 'why', description: 'the reason, for the history' }),
    json: options.json,
    file: positional({ type: string, displayName: 'file', description: 'the whole document, or { change = … }; JSON, or TOML by its name' })
  },
  handler: async ({ settings, base, id: given, by, why, json, file }) => {
    const store = openConfigStore(requiredSettings(settings))
    if (!Number.isInteger(base) || base < 0) stop(`--base ${base}: not a version; write a whole number, 0 for the first patch`, exitCodes.usage)
    const body = readPatch(file).match(value => value, problem => stop(problem, exitCodes.usage))
    const id = given ?? randomUUID()
    if (!/^[\w.-]{1,64}$/.test(id)) stop(`--id ${id}: write up to 64 letters, digits, "_", "-" and "."`, exitCodes.usage)
    // Printed before the submission, so that the id is known even if the command is killed.
    if (given === undefined) process.stderr.write(`patch id ${id}\n`)
    const verdict = await Submission.of(store, {
      base: base as ConfigVersion, id, by: by ?? userInfo().username, why: why ?? '', at: Date.now(), body
    }).run()
    const { code, text } = outcomeOf(verdict, file, id)
    if (json) process.stdout.write(`${JSON.stringify({ id, ...verdict })}\n`)
    else (code === exitCodes.done ? process.stdout : process.stderr).write(`${text}\n`)
    process.exit(code)
  }
})

function outcomeOf (verdict: SubmissionResult, file: string, id: string): { readonly code: ExitCode, readonly text: string } {
  switch (verdict.kind) {
    case 'accepted': return { code: exitCodes.done, text: `version ${verdict.version} accepted` }
    case 'outdated': return {
      code: exitCodes.refused,
      text: `refused: version ${verdict.newest} is the newest; look at what changed since and base your patch on it:\n${verdict.changes}`
    }
    case 'reused': return { code: exitCodes.refused, text: `refused: the id ${id} is that of another patch, version ${verdict.version}; leave --id out or choose a new one` }
    case 'invalid': return { code: exitCodes.usage, text: `${file}: ${verdict.problem}` }
    case 'unknown': return { code: exitCodes.unknown, text: `unknown: the store does not answer (${verdict.cause}); run the same command with --id ${id}` }
  }
}
