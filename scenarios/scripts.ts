/** The scripts of this folder. */

import { readdirSync, readFileSync } from 'node:fs'
import { parseScript } from './language/parse.ts'
import type { Script } from './language/script.ts'

const SUFFIX = '.scenario'

/** The scripts by their names, in order of name. Throws the first error with its file, line and column. */
export function readScripts (folder: string): ReadonlyMap<string, Script> {
  const files = readdirSync(folder).filter(file => file.endsWith(SUFFIX)).sort()
  return new Map(files.map(file => [file.slice(0, -SUFFIX.length), readScript(`${folder}/${file}`)]))
}

function readScript (path: string): Script {
  return parseScript(readFileSync(path, 'utf8')).match(
    script => script,
    problem => { throw new Error(`${path}:${problem.message}`) })
}
