/** One broken promise, with the shortest story that shows it. */

import type { History } from './history.ts'

type Kind =
  | 'read-your-writes broken'
  | 'strict read stale'
  | 'stated age exceeded'
  | 'acknowledged write lost'
  | 'write acknowledged by a replaced primary'
  | 'idempotency key with two effects'
  | 'request with two effects'
  | '"not run" that ran'
  | "answer is another's"
  | 'answer cut'
  | 'answer doubled'
  | 'transactions mixed'
  | 'configuration version gone back'
  | 'served without a key'
  | 'allowance exceeded'

export interface Breach {
  readonly kind: Kind
  /** The part of the history that shows the breach by itself. */
  readonly part: History
  /** What went wrong, after the sentences of the part. */
  readonly verdict: string
}
