/** What was tried for one statement, for the line that explains it. */

import type { EndpointId } from '../id/endpoint.ts'
import type { Instant } from '../id/instant.ts'
import type { Token } from '../token.ts'

interface Try {
  readonly endpoint: EndpointId
  /** `done`, how it ended otherwise, or why no connection was had. */
  readonly ending: string
  /** The position that the endpoint's log had to hold. */
  readonly after: Token | undefined
  readonly ms: number
}

/** Changes in place: each statement has one, and few are written. */
export class Trail {
  private readonly tries: Try[] = []

  private constructor (readonly since: Instant) {}

  static begin (now: Instant): Trail {
    return new Trail(now)
  }

  add (one: Try): void {
    this.tries.push(one)
  }

  get count (): number {
    return this.tries.length
  }

  /** Such as `i-1 after 3:7 behind 2 ms, i-2 done 9 ms`; empty when no endpoint was asked. */
  toString (): string {
    return this.tries.map(({ endpoint, ending, after, ms }) => {
      const needed = after === undefined ? '' : ` after ${after}`
      return `${endpoint}${needed} ${ending} ${Math.round(ms)} ms`
    }).join(', ')
  }
}
