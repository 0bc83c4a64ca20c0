/** Listeners for endpoints that become unreachable. */

import type { EndpointId } from '../../core/id/endpoint.ts'

export class Watchers {
  private readonly watching = new Map<EndpointId, Set<() => void>>()

  private constructor () {}

  static create (): Watchers {
    return new Watchers()
  }

  /** Calls the listener when the endpoint becomes unreachable. Returns a function that removes the listener. */
  watch (id: EndpointId, onOut: () => void): () => void {
    const watchers = this.watching.get(id) ?? new Set()
    this.watching.set(id, watchers.add(onOut))
    return () => {
      watchers.delete(onOut)
      if (watchers.size === 0) this.watching.delete(id)
    }
  }

  notify (id: EndpointId): void {
    for (const onOut of [...this.watching.get(id) ?? []]) onOut()
  }
}
