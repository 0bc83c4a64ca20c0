/** Writes Node's own warnings as lines of the log, in place of raw text between the lines. */

import type { Log } from './log.ts'

/** For the whole process: nothing else prints them from then on. */
export function logWarnings (log: Log): void {
  process.removeAllListeners('warning')
  process.on('warning', ({ name, message }) => log.write('runtimeWarned', { warning: name, text: message }))
}
