/** Those who wait for something to happen, each for a time of its own. */

export class Waiters {
  private readonly waiting = new Set<() => void>()

  private constructor () {}

  static create (): Waiters {
    return new Waiters()
  }

  /** Resolves when it has happened, or after the milliseconds. */
  async wait (ms: number): Promise<void> {
    await new Promise<void>(resolve => {
      const { waiting } = this
      const timer = setTimeout(done, ms)
      function done (): void {
        waiting.delete(done)
        clearTimeout(timer)
        resolve()
      }
      waiting.add(done)
    })
  }

  /** It has happened. */
  wake (): void {
    for (const done of [...this.waiting]) done()
  }
}
