/** Reads a settings file. */

import { readFileSync } from 'node:fs'
import { err, type Result } from 'neverthrow'
import { parse } from 'smol-toml'
import { parseSettings } from '../core/settings/settings.ts'

/** The settings of the file, or one line with file, key, what is wrong and the remedy. */
export function readSettings (file: string): Result<ReturnType<ReturnType<typeof parseSettings>['_unsafeUnwrap']>, string> {
  try {
    return parseSettings(parse(readFileSync(file, 'utf8'))).mapErr(problem => `${file}: ${problem}`)
  } catch (cause) {
    return err(`${file}: ${(cause as Error).message.split('\n')[0]}; write the file as TOML`)
  }
}
