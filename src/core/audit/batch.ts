/** A batch of records, as it's written to the object store: JSON lines, the first of which says what follows. */

import type { HostId } from '../id/host.ts'

interface Fields {
  readonly host: HostId
  readonly incarnation: string
  /** Counts the batches of the incarnation from 1. */
  readonly sequence: number
  /** Milliseconds since 1970 when the batch was cut. */
  readonly cutAt: number
  /** The lowest and the highest count of the requests in it; 0 when it has none. */
  readonly first: number
  readonly last: number
  /** The last hash of the batch before. */
  readonly previous: string
  readonly lines: readonly string[]
  /** The last hash of this batch. */
  readonly hash: string
}

/** A cut batch. Immutable. */
export class Batch {
  private constructor (readonly fields: Fields) {}

  static of (fields: Fields): Batch {
    return new Batch(fields)
  }

  get text (): string {
    const { host, incarnation, sequence, cutAt, previous, lines } = this.fields
    const header = JSON.stringify({ batch: { format: 1, host, incarnation, sequence, cutAt, previous, entries: lines.length } })
    return [header, ...lines, ''].join('\n')
  }
}
