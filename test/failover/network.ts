/** A virtual clock and a network between named nodes: delay, loss, cuts, freezes. The same seed gives the same run. */

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

interface Due {
  readonly at: number
  readonly order: number
  readonly node: string
  readonly run: () => void
}

const UINT32 = 0x100000000

export class FakeNetwork {
  now = 0
  /** The share of messages that are lost. */
  loss = 0
  private order = 0
  private readonly due: Due[] = []
  private readonly cuts = new Set<string>()
  private readonly frozen = new Map<string, Due[]>()
  private readonly down = new Set<string>()
  private readonly generator: ReturnType<typeof xoroshiro128plus>

  constructor (seed: number, private readonly mostDelay: number) {
    this.generator = xoroshiro128plus(seed)
  }

  chance (): number {
    return (this.generator.next() >>> 0) / UINT32
  }

  /** Runs on the node after `ms`, or when it's woken if it's frozen then; never when it's down then. */
  after (ms: number, node: string, run: () => void): void {
    this.add({ at: this.now + ms, order: this.order++, node, run })
  }

  every (ms: number, node: string, run: () => void): void {
    const again = (): void => {
      run()
      if (!this.down.has(node)) this.after(ms, node, again)
    }
    this.after(this.chance() * ms, node, again)
  }

  /** Delivers after a delay, out of order with others; a cut or a loss drops the message without a sign. */
  send (from: string, to: string, run: () => void): void {
    if (this.isCut(from, to) || this.chance() < this.loss) return
    this.after(1 + this.chance() * this.mostDelay, to, () => { if (!this.isCut(from, to)) run() })
  }

  /** Cuts one direction. */
  cut (from: string, to: string): void {
    this.cuts.add(`${from}>${to}`)
  }

  mend (from: string, to: string): void {
    this.cuts.delete(`${from}>${to}`)
  }

  freeze (node: string): void {
    if (!this.frozen.has(node)) this.frozen.set(node, [])
  }

  /** What was due while the node was frozen comes at once: timers and messages that are long out of date. */
  wake (node: string): void {
    const missed = this.frozen.get(node) ?? []
    this.frozen.delete(node)
    for (const one of missed) this.add({ ...one, at: this.now })
  }

  kill (node: string): void {
    this.down.add(node)
  }

  run (ms: number): void {
    const end = this.now + ms
    while (this.due.length > 0 && this.due[0]!.at <= end) {
      const next = this.due.shift()!
      this.now = Math.max(this.now, next.at)
      if (this.down.has(next.node)) continue
      const backlog = this.frozen.get(next.node)
      if (backlog === undefined) next.run()
      else backlog.push(next)
    }
    this.now = end
  }

  private isCut (from: string, to: string): boolean {
    return this.cuts.has(`${from}>${to}`)
  }

  private add (one: Due): void {
    let low = 0
    let high = this.due.length
    while (low < high) {
      const middle = (low + high) >> 1
      const other = this.due[middle]!
      if (other.at < one.at || (other.at === one.at && other.order < one.order)) low = middle + 1
      else high = middle
    }
    this.due.splice(low, 0, one)
  }
}
