/** A connection between two nodes. */

import type { Node } from './node.ts'

export class Connection {
  /** What is sent on a silent connection goes nowhere, and neither end is told. */
  isSilent = false
  isBroken = false
  private readonly listeners = new Set<() => void>()

  private constructor (readonly from: Node, readonly to: Node) {}

  static create (from: Node, to: Node): Connection {
    return new Connection(from, to)
  }

  isBetween (a: Node, b: Node): boolean {
    return (this.from === a && this.to === b) || (this.from === b && this.to === a)
  }

  /** Returns the call that takes the listener off again. */
  onBreak (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  break (): void {
    if (this.isBroken) return
    this.isBroken = true
    for (const listener of [...this.listeners]) listener()
  }
}
