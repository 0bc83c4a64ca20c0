/** Thrown by a bounded object store that has no space left for another object. */

export class StoreFullError extends Error {
  constructor () {
    super('the object store is full; the oldest batches are dropped to make room')
  }
}
