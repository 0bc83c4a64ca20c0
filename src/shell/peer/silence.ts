/** Tells when nothing was heard of a peer for too long. */

import { setImmediate as readPending } from 'node:timers/promises'

/**
 * The silence of one link. Bytes count and not only whole batches, since a
 * large batch takes long to arrive on a full link.
 */
export class Silence {
  private heardAt = performance.now()
  private bytes = 0

  private constructor (private readonly maxMs: number, private readonly bytesRead: () => number) {}

  /** `bytesRead`: the bytes that the link's socket has read since it opened. */
  static of (maxMs: number, bytesRead: () => number): Silence {
    return new Silence(maxMs, bytesRead)
  }

  /** Records that a batch has arrived. */
  heard (): void {
    this.heardAt = performance.now()
    this.bytes = this.bytesRead()
  }

  /** Whether the silence is too long. Timers run before sockets are read, so what has arrived by now is read before the verdict. */
  async isTooLong (): Promise<boolean> {
    if (!this.isTooLongSoFar) return false
    await readPending()
    return this.isTooLongSoFar
  }

  private get isTooLongSoFar (): boolean {
    if (this.bytesRead() !== this.bytes) this.heard()
    return performance.now() - this.heardAt > this.maxMs
  }
}
