/** Events of virtual time, taken in their order. */

interface Entry {
  readonly at: number
  readonly order: number
  readonly act: () => void
}

/** A binary heap; events of one instant keep the order in which they were added. */
export class Agenda {
  now = 0
  private readonly heap: Entry[] = []
  private added = 0

  private constructor () {}

  static create (): Agenda {
    return new Agenda()
  }

  add (ms: number, act: () => void): void {
    const entry: Entry = { at: this.now + ms, order: this.added++, act }
    let i = this.heap.push(entry) - 1
    while (i > 0) {
      const parent = (i - 1) >> 1
      if (!isBefore(entry, this.heap[parent]!)) break
      this.heap[i] = this.heap[parent]!
      i = parent
    }
    this.heap[i] = entry
  }

  /** When the next event is; undefined without one. */
  get nextAt (): number | undefined {
    return this.heap[0]?.at
  }

  /** Runs all events up to an instant. */
  runUntil (end: number): void {
    while (this.heap.length > 0 && this.heap[0]!.at <= end) {
      const entry = this.pop()
      this.now = entry.at
      entry.act()
    }
    this.now = end
  }

  private pop (): Entry {
    const top = this.heap[0]!
    const last = this.heap.pop()!
    const { length } = this.heap
    if (length === 0) return top
    let i = 0
    for (;;) {
      let child = 2 * i + 1
      if (child >= length) break
      if (child + 1 < length && isBefore(this.heap[child + 1]!, this.heap[child]!)) child++
      if (!isBefore(this.heap[child]!, last)) break
      this.heap[i] = this.heap[child]!
      i = child
    }
    this.heap[i] = last
    return top
  }
}

function isBefore (a: Entry, b: Entry): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order)
}
