/**
 * The chain of hashes over the records of one process: each record's hash
 * covers the previous one, so a record that is changed, removed, put in or
 * moved shows in every hash after it.
 */

import type { HostId } from '../id/host.ts'

type Digest = (text: string) => string

/** The end of a chain. Immutable; `with` takes a body in and yields the next end. */
export class Chain {
  private constructor (private readonly digest: Digest, readonly last: string) {}

  /** A chain begins with its process, so that batches of two processes can't be exchanged. */
  static begin (digest: Digest, host: HostId, incarnation: string): Chain {
    return new Chain(digest, digest(`${host}/${incarnation}`))
  }

  /** Goes on from a hash that a batch names as the previous one. */
  static from (digest: Digest, last: string): Chain {
    return new Chain(digest, last)
  }

  with (body: string): Chain {
    return new Chain(this.digest, this.digest(`${this.last}\n${body}`))
  }
}
