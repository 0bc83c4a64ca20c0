/** The operations of the platform's transactional table service that the proxy needs. */

import type { Row } from './row.ts'

/** Every method rejects on failures, timeouts and throttling; a write may have taken effect nevertheless. */
export interface TableService {
  /** The row, or undefined if it does not exist. */
  get (pk: string, sk: string): Promise<Row | undefined>
  /** Creates the row, or returns `exists` and changes nothing. */
  create (row: Row): Promise<'created' | 'exists'>
  /** Replaces the row if it still has `revision`; otherwise returns `changed` and changes nothing. */
  replace (row: Row, revision: number): Promise<'replaced' | 'changed'>
  /** The row of the partition with the highest sort key. */
  newest (pk: string): Promise<Row | undefined>
  /** At most `most` rows of the partition with a sort key greater than `after`, in ascending order. */
  list (pk: string, after: string, most: number): Promise<readonly Row[]>
}
