/** Whatever has a place in the network: a host, an endpoint, the platform's services, a caller. */

import type { Clock } from './clock.ts'

export class Node {
  isUp = true
  private wakesAt = 0

  private constructor (private readonly clock: Clock, readonly id: string, readonly dataCentre: string) {}

  static create (clock: Clock, id: string, dataCentre: string): Node {
    return new Node(clock, id, dataCentre)
  }

  get isFrozen (): boolean {
    return this.clock.now < this.wakesAt
  }

  /** Nothing of the node runs for so long; what arrives meanwhile waits. */
  freeze (ms: number): void {
    this.wakesAt = this.clock.now + ms
  }

  async awake (): Promise<void> {
    while (this.isFrozen) await this.clock.sleep(this.wakesAt - this.clock.now)
  }
}
