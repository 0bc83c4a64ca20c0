/** Connections that are given up if nobody uses them for a while. */

import type { EndpointLink } from './link.ts'

export class Resting {
  private readonly timers = new Map<EndpointLink, NodeJS.Timeout>()

  private constructor (private readonly onRested: (link: EndpointLink) => void) {}

  static create (onRested: (link: EndpointLink) => void): Resting {
    return new Resting(onRested)
  }

  /** `ms`: how long it's kept; undefined for as long as it lasts. */
  rest (link: EndpointLink, ms: number | undefined): void {
    if (ms !== undefined) this.timers.set(link, setTimeout(() => this.onRested(link), ms))
  }

  wake (link: EndpointLink): void {
    clearTimeout(this.timers.get(link))
    this.timers.delete(link)
  }
}
