/** Ends a command with a line on standard error. */

import type { exitCodes } from './exitcodes.ts'

export function stop (problem: string, code: (typeof exitCodes)[keyof typeof exitCodes]): never {
  process.stderr.write(`${problem}\n`)
  process.exit(code)
}
