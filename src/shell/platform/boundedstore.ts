/** An object store of a fixed size, which its users keep from running over. */

import type { ObjectStore } from './objectstore.ts'

/** `put` rejects with `StoreFull` when there is no room. */
export interface BoundedStore extends ObjectStore {
  /** Takes the object away; one that isn't there is no failure. */
  drop (key: string): Promise<void>
}
