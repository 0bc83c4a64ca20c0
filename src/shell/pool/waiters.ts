/** Wakes all who wait for an event; each wait has its own timeout. */

export class Waiters {
  private readonly waiting = new Set<() => void>()

  private constructor () {}

  static create (): Waiters {
    return new Waiters()
  }

  /** Resolves on `wake`, after `ms`, or when `gone` is aborted. */
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

  /** Ends the wait of all. */
  wake (): void {
    for (const done of [...this.waiting]) done()
  }
}
