/** An object store of limited size, whose users must delete old objects. */

import type { ObjectStore } from './objectstore.ts'

/** `put` rejects with `StoreFullError` if the store is full. */
export interface BoundedStore extends ObjectStore {
  /** Deletes the object; does nothing if it does not exist. */
  drop (key: string): Promise<void>
}
