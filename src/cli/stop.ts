/** Prints a line on standard error and ends the process with an exit code. */

import type { exitCodes } from './exitcodes.ts'

export function stop (problem: string, code: (typeof exitCodes)[keyof typeof exitCodes]): never {
  process.stderr.write(`${problem}\n`)
  process.exit(code)
}
