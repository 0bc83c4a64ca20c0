/** What the gossip of configurations asks of the shell. */

import type { HostId } from '../id/host.ts'
import type { ConfigVersion } from '../id/version.ts'

/**
 * - `digest`: tell the host which version this one has; a host with a higher one answers with its body.
 * - `body`: send the version in force to a host that has `base`; the change from `base` will do.
 */
export type GossipAction =
  | { readonly kind: 'digest', readonly to: HostId }
  | { readonly kind: 'body', readonly to: HostId, readonly base: ConfigVersion }
