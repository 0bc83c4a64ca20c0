/** A condition variable in virtual time: some wait for a change, and whoever makes one wakes them all. */

import type { Clock } from './clock.ts'

export class Condition {
  private readonly waiting = new Set<() => void>()

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): Condition {
    return new Condition(clock)
  }

  /** Resolves at the next change, or after the time. */
  async wait (ms: number): Promise<void> {
    await new Promise<void>(resolve => {
      const callOff = this.clock.after(ms, resolve)
      this.waiting.add(() => {
        callOff()
        resolve()
      })
    })
  }

  notify (): void {
    const waiting = [...this.waiting]
    this.waiting.clear()
    for (const wake of waiting) wake()
  }
}
