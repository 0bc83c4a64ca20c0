/** A queue whose items are pushed by events and taken by one loop. */

/** Ends when closed; what was pushed before is still taken. */
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

  /** Yields all that was waiting, at least one item at a time. */
  async * [Symbol.asyncIterator] (): AsyncGenerator<readonly T[]> {
    for (;;) {
      if (this.items.length === 0) {
        if (this.isClosed) return
        await new Promise<void>(resolve => { this.wake = resolve })
        this.wake = undefined
        continue
      }
      const taken = this.items
      this.items = []
      yield taken
    }
  }
}
