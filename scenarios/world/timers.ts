/** Puts a virtual clock behind `setTimeout` and its kin while a run lasts, for the shell's code that a run calls as it stands. */

import type { Clock } from './clock.ts'

interface Handle {
  readonly callOff: () => void
  unref (): Handle
}

/** Runs one at a time: the timers are the whole process's. */
export async function withTimers<T> (clock: Clock, run: () => Promise<T>): Promise<T> {
  const { setTimeout, clearTimeout, setInterval, clearInterval } = globalThis
  const set = (callback: (...args: unknown[]) => void, ms = 0, ...args: unknown[]): Handle => {
    const handle: Handle = { callOff: clock.after(ms, () => callback(...args)), unref: () => handle }
    return handle
  }
  const repeat = (callback: () => void, ms: number): Handle => {
    let callOff = (): void => undefined
    const arm = (): void => {
      callOff = clock.after(ms, () => {
        arm()
        callback()
      })
    }
    arm()
    const handle: Handle = { callOff: () => callOff(), unref: () => handle }
    return handle
  }
  const clear = (handle: Handle | undefined): void => handle?.callOff()
  Object.assign(globalThis, { setTimeout: set, clearTimeout: clear, setInterval: repeat, clearInterval: clear })
  Object.defineProperty(performance, 'now', { value: () => clock.now, configurable: true })
  try {
    return await run()
  } finally {
    Reflect.deleteProperty(performance, 'now')
    Object.assign(globalThis, { setTimeout, clearTimeout, setInterval, clearInterval })
  }
}
