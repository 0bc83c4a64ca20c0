/** A virtual clock: runs what is due in order of time, and of being asked for where times are equal. */

interface Due {
  readonly at: number
  readonly order: number
  readonly act: () => void
}

export class VirtualClock {
  private readonly heap: Due[] = []
  private order = 0
  now = 0

  private constructor () {}

  static create (): VirtualClock {
    return new VirtualClock()
  }

  after (ms: number, act: () => void): void {
    const { heap } = this
    const due = { at: this.now + ms, order: this.order++, act }
    let i = heap.push(due) - 1
    for (let up = (i - 1) >> 1; i > 0 && isBefore(due, heap[up]!); up = (i - 1) >> 1) {
      heap[i] = heap[up]!
      i = up
    }
    heap[i] = due
  }

  /** Runs until `isDone` holds or the time is up; says whether it holds. */
  run (ms: number, isDone: () => boolean = () => false): boolean {
    const end = this.now + ms
    while (!isDone()) {
      const next = this.heap[0]
      if (next === undefined || next.at > end) {
        this.now = end
        return isDone()
      }
      this.take()
      this.now = next.at
      next.act()
    }
    return true
  }

  /** Removes the first entry. */
  private take (): void {
    const { heap } = this
    const last = heap.pop()!
    if (heap.length === 0) return
    let i = 0
    for (;;) {
      const left = 2 * i + 1
      if (left >= heap.length) break
      const child = left + 1 < heap.length && isBefore(heap[left + 1]!, heap[left]!) ? left + 1 : left
      if (!isBefore(heap[child]!, last)) break
      heap[i] = heap[child]!
      i = child
    }
    heap[i] = last
  }
}

function isBefore (a: Due, b: Due): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order)
}
