/** A whole run as its callers and operators saw it. */

import type { Call } from './call.ts'

/** A primary that began to take writes in a new term. */
interface Promotion {
  readonly group: string
  readonly term: number
  /** The last position of its log when the term began. */
  readonly position: number
  readonly at: number
}

/** A version of the configuration that a host was seen to use. */
interface Version {
  readonly host: string
  readonly version: number
  readonly at: number
}

/** A span in which a team holds a key. */
interface Grant {
  readonly key: string
  readonly team: string
  readonly from: number
  /** When it was taken away, and how long after that no host serves it any more; absent while it holds. */
  readonly until?: { readonly at: number, readonly lateMs: number }
}

/** What a team may run in any span of a length, between two times. */
interface Allowance {
  readonly team: string
  readonly from: number
  readonly to: number
  readonly windowMs: number
  /** Operations, with the tolerance. */
  readonly most: number
}

export interface History {
  readonly calls: readonly Call[]
  readonly promotions: readonly Promotion[]
  readonly versions: readonly Version[]
  /** Absent where callers need no keys. */
  readonly grants?: readonly Grant[]
  readonly allowances?: readonly Allowance[]
}
