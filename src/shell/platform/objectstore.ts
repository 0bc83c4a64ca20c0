/** The platform's object store, as far as agatepond needs it. */

/** Every method rejects when the store is down, slow past its timeout or refuses; a `put` may then have taken effect. */
export interface ObjectStore {
  /** Writes the whole object, in place of an older one of that key. Safe to repeat after a lost answer. */
  put (key: string, body: Uint8Array): Promise<void>
  /** The object; undefined when there is none of that key. */
  get (key: string): Promise<Uint8Array | undefined>
  /** Keys that begin with the prefix and come after `after`, in order, at most `most` (up to 1,000). */
  list (prefix: string, after: string, most: number): Promise<readonly string[]>
}
