/** Events of the gossip of configurations, from peers, the store and the clock. */

import type { HostId } from '../id/host.ts'
import type { ConfigVersion } from '../id/version.ts'

/**
 * - `members`: the partners of this host have changed.
 * - `linked`: a link to the host is up.
 * - `held`: this host applied a version that `from` sent, or one from the store when `from` is undefined. `hasChange`
 *   says whether it has the change that led there, or the whole document only.
 * - `digest`: a host says which version it has; 0 for none.
 * - `missed`: a host sent a change to a version that this host doesn't have.
 * - `tick`: time has passed.
 */
export type GossipEvent =
  | { readonly kind: 'members', readonly partners: readonly HostId[] }
  | { readonly kind: 'linked', readonly host: HostId }
  | { readonly kind: 'held', readonly version: ConfigVersion, readonly from: HostId | undefined, readonly hasChange: boolean }
  | { readonly kind: 'digest', readonly from: HostId, readonly version: ConfigVersion }
  | { readonly kind: 'missed', readonly from: HostId }
  | { readonly kind: 'tick' }
