/** Puts a virtual clock behind `setTimeout` while a run lasts, for the shell's code that a run calls as it stands. */

import type { Clock } from './clock.ts'

interface Handle {
  readonly callOff: () => void
  unref (): Handle
}

/** Runs one at a time: the timers are the whole process's. */
export async function withTimers<T> (clock: Clock, run: () => Promise<T>): Promise<T> {
  const { setTimeout, clearTimeout } = globalThis
  const set = (callback: (...args: unknown[]) => void, ms = 0, ...args: unknown[]): Handle => {
    const handle: Handle = { callOff: clock.after(ms, () => callback(...args)), unref: () => handle }
    return handle
  }
  const clear = (handle: Handle | undefined): void => handle?.callOff()
  Object.assign(globalThis, { setTimeout: set, clearTimeout: clear })
  try {
    return await run()
  } finally {
    Object.assign(globalThis, { setTimeout, clearTimeout })
  }
}
