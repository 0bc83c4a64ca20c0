/** Runs a read of the store, and ends the command if the store doesn't answer. */

import { exitCodes } from './exitcodes.ts'
import { stop } from './stop.ts'

export async function readStore<T> (read: () => Promise<T>): Promise<T> {
  try {
    return await read()
  } catch (err) {
    return stop(`the store does not answer (${(err as Error).message}); run the command again`, exitCodes.unknown)
  }
}
