/** Reads a patch from a JSON or TOML file, depending on its extension. */

import { readFileSync } from 'node:fs'
import { err, ok, type Result } from 'neverthrow'
import { parse } from 'smol-toml'
import type { Json } from '../core/json.ts'

/** Returns the patch, or a one-line error with the file, the problem and the remedy. */
export function readPatch (file: string): Result<Json, string> {
  const isToml = file.endsWith('.toml')
  try {
    const text = readFileSync(file, 'utf8')
    return ok(isToml ? parse(text) as Json : JSON.parse(text) as Json)
  } catch (cause) {
    const { code, message } = cause as NodeJS.ErrnoException
    if (code === 'ENOENT') return err(`${file}: there is no such file; name the patch`)
    return err(`${file}: ${message.split('\n')[0]}; write the patch as ${isToml ? 'TOML' : 'JSON'}`)
  }
}
