/** Virtual time: what is due runs in order of time, then in the order it was asked for. */

interface Due {
  readonly at: number
  readonly order: number
  /** Undefined once it's called off. */
  run: (() => void) | undefined
}

const ENTRIES_A_TURN = 256

/** Milliseconds from the start of a run. Nothing in a run reads another clock. */
export class Clock {
  now = 0
  private order = 0
  private count = 0
  /** A binary heap; the earliest is first. */
  private readonly heap: Due[] = []

  private constructor () {}

  static create (): Clock {
    return new Clock()
  }

  /** Returns the call that calls it off. */
  after (ms: number, run: () => void): () => void {
    const due: Due = { at: this.now + Math.max(0, ms), order: this.order++, run }
    this.push(due)
    return () => { due.run = undefined }
  }

  async sleep (ms: number): Promise<void> {
    await new Promise<void>(resolve => { this.after(ms, resolve) })
  }

  /** Runs what is due until the instant. */
  async runUntil (end: number): Promise<void> {
    while (this.heap.length > 0 && this.heap[0]!.at <= end) {
      const due = this.pop()
      if (due.run === undefined) continue
      this.now = due.at
      due.run()
      await this.settled()
    }
    this.now = end
  }

  /**
   * Whatever waited for this continues now, before time moves on: a tick comes
   * after all promises that can go on. Immediates need a turn of the event loop,
   * which costs more than most entries, so they get one now and then.
   */
  private async settled (): Promise<void> {
    const isTurnDue = ++this.count % ENTRIES_A_TURN === 0
    await new Promise<void>(resolve => { if (isTurnDue) setImmediate(resolve); else process.nextTick(resolve) })
  }

  private push (due: Due): void {
    const { heap } = this
    let at = heap.push(due) - 1
    while (at > 0) {
      const parent = (at - 1) >> 1
      if (isBefore(heap[parent]!, due)) break
      heap[at] = heap[parent]!
      at = parent
    }
    heap[at] = due
  }

  private pop (): Due {
    const { heap } = this
    const first = heap[0]!
    const last = heap.pop()!
    if (heap.length === 0) return first
    let at = 0
    for (;;) {
      let child = 2 * at + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) child++
      if (isBefore(last, heap[child]!)) break
      heap[at] = heap[child]!
      at = child
    }
    heap[at] = last
    return first
  }
}

function isBefore (a: Due, b: Due): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order)
}
