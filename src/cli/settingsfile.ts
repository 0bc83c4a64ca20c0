/** Reads a settings file. */

import { readFileSync } from 'node:fs'
import { err, type Result } from 'neverthrow'
import { parse, TomlError } from 'smol-toml'
import { parseSettings } from '../core/settings/settings.ts'

/** Returns the settings, or a one-line error with the file, the key, the problem and the remedy. */
export function readSettings (file: string): Result<ReturnType<ReturnType<typeof parseSettings>['_unsafeUnwrap']>, string> {
  try {
    return parseSettings(parse(readFileSync(file, 'utf8'))).mapErr(problem => `${file}: ${problem}`)
  } catch (cause) {
    return err(`${file}${problemOf(cause as Error)}`)
  }
}

function problemOf (cause: NodeJS.ErrnoException): string {
  if (cause instanceof TomlError) {
    const [what] = cause.message.replace('Invalid TOML document: ', '').split('\n')
    return `:${cause.line}:${cause.column}: ${what}; write the line as TOML`
  }
  if (cause.code === 'ENOENT') return ': there is no such file; name the settings file of this host'
  return `: ${cause.message}; make the file readable`
}
