/** Connections that are given up if nobody uses them for a while. */

import type { EndpointLink } from './link.ts'

export class IdleTimeouts {
  private readonly timers = new Map<EndpointLink, NodeJS.Timeout>()

  private constructor (private readonly onTimeout: (link: EndpointLink) => void) {}

  static create (onRested: (link: EndpointLink) => void): IdleTimeouts {
    return new IdleTimeouts(onRested)
  }

  /** `ms`: how long it's kept; undefined for as long as it lasts. */
  rest (link: EndpointLink, ms: number | undefined): void {
    if (ms !== undefined) this.timers.set(link, setTimeout(() => this.onTimeout(link), ms))
  }

  cancel (link: EndpointLink): void {
    clearTimeout(this.timers.get(link))
    this.timers.delete(link)
  }
}
