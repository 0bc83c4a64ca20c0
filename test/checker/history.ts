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

export interface History {
  readonly calls: readonly Call[]
  readonly promotions: readonly Promotion[]
  readonly versions: readonly Version[]
}
