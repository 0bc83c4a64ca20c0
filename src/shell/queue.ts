/** An unbounded queue with any number of producers and a single asynchronous consumer. */

/** Iteration ends when the queue is closed and empty; items pushed after `close` are ignored. */
export class AsyncQueue<T> implements AsyncIterable<readonly T[]> {
  private items: T[] = []
  private wake: (() => void) | undefined
  private isClosed = false

  private constructor () {}

  static create<T> (): AsyncQueue<T> {
    return new AsyncQueue<T>()
  }

  get length (): number {
    return this.items.length
  }

  push (item: T): void {
    if (this.isClosed) return
    this.items.push(item)
    this.wake?.()
  }

  close (): void {
    this.isClosed = true
    this.wake?.()
  }

  /** Yields all queued items as one batch, waiting until there is at least one. */
  async * [Symbol.asyncIterator] (): AsyncGenerator<readonly T[]> {
    for (;;) {
      if (this.items.length === 0) {
        if (this.isClosed) return
        await new Promise<void>(resolve => { this.wake = resolve })
        this.wake = undefined
        continue
      }
      const batch = this.items
      this.items = []
      yield batch
    }
  }
}
