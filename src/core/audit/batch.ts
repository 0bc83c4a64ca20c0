/** A batch of audit records as it's written to the object store: JSON lines after a header line. */

import type { HostId } from '../id/host.ts'

interface Fields {
  readonly host: HostId
  readonly incarnation: string
  /** Numbers the batches of the incarnation from 1. */
  readonly sequence: number
  /** When the batch was cut, in milliseconds since 1970. */
  readonly cutAt: number
  /** The lowest and the highest request number in the batch; 0 when it has no records. */
  readonly first: number
  readonly last: number
  /** The hash at the end of the previous batch. */
  readonly previous: string
  readonly lines: readonly string[]
  /** The hash at the end of this batch. */
  readonly hash: string
}

/** A batch that takes no more records. Immutable. */
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
