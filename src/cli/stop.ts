/** Ends a command with a line on standard error. */

import type { exit } from './exit.ts'

export function stop (problem: string, code: (typeof exit)[keyof typeof exit]): never {
  process.stderr.write(`${problem}\n`)
  process.exit(code)
}
