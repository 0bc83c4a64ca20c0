/** One accepted version as it is kept in the store. */

import type { ConfigVersion } from '../../core/id/version.ts'
import type { parseRecord } from '../../core/config/record.ts'

export interface Revision {
  readonly version: ConfigVersion
  readonly record: ReturnType<ReturnType<typeof parseRecord>['_unsafeUnwrap']>
}
