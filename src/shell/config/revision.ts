/** An accepted configuration version and its record in the store. */

import type { ConfigVersion } from '../../core/id/version.ts'
import type { parseConfigRecord } from '../../core/config/configrecord.ts'

export interface Revision {
  readonly version: ConfigVersion
  readonly record: ReturnType<ReturnType<typeof parseConfigRecord>['_unsafeUnwrap']>
}
