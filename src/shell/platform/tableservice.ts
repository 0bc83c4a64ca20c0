/** The platform's transactional table service, as far as agatepond needs it. */

import type { Row } from './row.ts'

/** Every method rejects when the service is down, slow past its timeout or throttled; a write may then have taken effect. */
export interface TableService {
  get (pk: string, sk: string): Promise<Row | undefined>
  /** Creates the row, or answers `exists` and changes nothing. */
  create (row: Row): Promise<'created' | 'exists'>
  /** Replaces the row if it still has the revision, or answers `changed`. */
  replace (row: Row, revision: number): Promise<'replaced' | 'changed'>
  /** The row of the partition with the highest sort key. */
  newest (pk: string): Promise<Row | undefined>
  /** Rows with a sort key after `after`, in order. */
  list (pk: string, after: string, most: number): Promise<readonly Row[]>
}
