/** A version of the configuration that the store or a peer offers. */

import type { ConfigVersion } from '../id/version.ts'
import type { Json } from '../json.ts'

export interface ConfigCandidate {
  readonly version: ConfigVersion
  /** 0: `body` is the whole document. Else it's the change that leads from that version to this one. */
  readonly base: ConfigVersion
  readonly body: Json
}
