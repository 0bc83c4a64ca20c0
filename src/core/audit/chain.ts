/**
 * A hash chain over the audit records of one process. Each hash covers the
 * previous one, so a changed, removed, inserted or moved record invalidates
 * every later hash.
 */

import type { HostId } from '../id/host.ts'

type Digest = (text: string) => string

/** The end of a chain. Immutable; `with` appends an entry's body and returns the new end. */
export class Chain {
  private constructor (private readonly digest: Digest, readonly last: string) {}

  /** The first hash covers the identity of the process, so that batches of two processes can't be exchanged. */
  static begin (digest: Digest, host: HostId, incarnation: string): Chain {
    return new Chain(digest, digest(`${host}/${incarnation}`))
  }

  /** Continues a chain from the hash that a batch names as the previous one. */
  static from (digest: Digest, last: string): Chain {
    return new Chain(digest, last)
  }

  with (body: string): Chain {
    return new Chain(this.digest, this.digest(`${this.last}\n${body}`))
  }
}
