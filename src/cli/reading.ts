/** Reads of the store for a command, which ends when the store doesn't answer. */

import { exit } from './exit.ts'
import { stop } from './stop.ts'

export async function reading<T> (read: () => Promise<T>): Promise<T> {
  try {
    return await read()
  } catch (err) {
    return stop(`the store does not answer (${(err as Error).message}); run the command again`, exit.unknown)
  }
}
