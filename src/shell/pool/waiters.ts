/** Those who wait for something to happen, each for a time of its own. */

export class Waiters {
  private readonly waiting = new Set<() => void>()

  private constructor () {}

  static create (): Waiters {
    return new Waiters()
  }

  /** Resolves when it has happened, or after the milliseconds, or when whoever waits is gone. */
  async wait (ms: number, gone?: AbortSignal): Promise<void> {
    if (gone?.aborted === true) return
    await new Promise<void>(resolve => {
      const { waiting } = this
      const timer = setTimeout(done, ms)
      function done (): void {
        waiting.delete(done)
        clearTimeout(timer)
        gone?.removeEventListener('abort', done)
        resolve()
      }
      waiting.add(done)
      gone?.addEventListener('abort', done)
    })
  }

  /** It has happened. */
  wake (): void {
    for (const done of [...this.waiting]) done()
  }
}
