/** Writes Node's process warnings to the structured log instead of standard error. */

import type { Log } from './log.ts'

/** Replaces all other warning listeners of the process, including the default one. */
export function logWarnings (log: Log): void {
  process.removeAllListeners('warning')
  process.on('warning', ({ name, message }) => log.write('runtimeWarned', { warning: name, text: message }))
}
