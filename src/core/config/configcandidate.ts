/** A configuration version that the store or a peer offers. */

import type { ConfigVersion } from '../id/version.ts'
import type { Json } from '../json.ts'

export interface ConfigCandidate {
  readonly version: ConfigVersion
  /** 0 if `body` is the whole document; otherwise `body` is the change from version `base` to this one. */
  readonly base: ConfigVersion
  readonly body: Json
}
