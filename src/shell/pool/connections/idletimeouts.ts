/** Timeouts after which idle connections are closed. */

import type { EndpointLink } from './link.ts'

export class IdleTimeouts {
  private readonly timers = new Map<EndpointLink, NodeJS.Timeout>()

  private constructor (private readonly onTimeout: (link: EndpointLink) => void) {}

  static create (onRested: (link: EndpointLink) => void): IdleTimeouts {
    return new IdleTimeouts(onRested)
  }

  /** Starts the timeout of a connection. `ms`: undefined for no timeout. */
  rest (link: EndpointLink, ms: number | undefined): void {
    if (ms !== undefined) this.timers.set(link, setTimeout(() => this.onTimeout(link), ms))
  }

  cancel (link: EndpointLink): void {
    clearTimeout(this.timers.get(link))
    this.timers.delete(link)
  }
}
