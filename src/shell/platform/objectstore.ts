/** The operations of the platform's object store that the proxy needs. */

/** Every method rejects on failures, refusals and timeouts; a `put` may have taken effect nevertheless. */
export interface ObjectStore {
  /** Writes the whole object, replacing an existing one. Safe to repeat after a lost response. */
  put (key: string, body: Uint8Array): Promise<void>
  /** The object, or undefined if it does not exist. */
  get (key: string): Promise<Uint8Array | undefined>
  /** Keys with the prefix that sort after `after`, in ascending order; at most `most` (up to 1,000). */
  list (prefix: string, after: string, most: number): Promise<readonly string[]>
}
