/** Actions that the gossip of configurations asks the shell to carry out. */

import type { HostId } from '../id/host.ts'
import type { ConfigVersion } from '../id/version.ts'

/**
 * - `digest`: tell the host which version this one has; a host with a higher version answers with its body.
 * - `body`: send the current version to a host that has `base`; the change from `base` is enough.
 */
export type GossipAction =
  | { readonly kind: 'digest', readonly to: HostId }
  | { readonly kind: 'body', readonly to: HostId, readonly base: ConfigVersion }
