/** Listeners for endpoints that become unreachable. */

import type { EndpointId } from '../../core/id/endpoint.ts'

export class Watchers {
  private readonly listeners = new Map<EndpointId, Set<() => void>>()

  private constructor () {}

  static create (): Watchers {
    return new Watchers()
  }

  /** Calls the listener when the endpoint becomes unreachable. Returns a function that removes the listener. */
  watch (id: EndpointId, listener: () => void): () => void {
    const current = this.listeners.get(id) ?? new Set()
    this.listeners.set(id, current.add(listener))
    return () => {
      current.delete(listener)
      if (current.size === 0) this.listeners.delete(id)
    }
  }

  notify (id: EndpointId): void {
    for (const listener of [...this.listeners.get(id) ?? []]) listener()
  }
}
