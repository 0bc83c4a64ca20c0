/** What a host tells one that starts while the store is away. */

import type { KnownRow } from './knownrow.ts'

/** Rows as the store gave them, so that they are read the same way. */
export interface Knowledge {
  readonly config: readonly KnownRow[]
  readonly endpoints: readonly KnownRow[]
}
