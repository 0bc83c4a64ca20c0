/** Events that change what a process knows of the hosts. */

import type { EndpointId } from '../id/endpoint.ts'
import type { HostId } from '../id/host.ts'
import type { Host } from './host.ts'

/**
 * - `listed`: the host list was fetched; it lags, and may be wrong for a while.
 * - `watched`, `unwatched`: a link to the host is kept from now on, or no longer; silence counts only for a watched host.
 * - `heard`: a message arrived from the host's process. A new incarnation is a new process, which holds nothing.
 * - `held`: the process reported which slots it holds, and whether it's leaving.
 * - `lost`: the link to it broke or went silent.
 * - `leaving`: this process itself is leaving.
 */
export type MembershipEvent =
  | { readonly kind: 'listed', readonly hosts: readonly Host[] }
  | { readonly kind: 'watched', readonly host: HostId }
  | { readonly kind: 'unwatched', readonly host: HostId }
  | { readonly kind: 'heard', readonly host: HostId, readonly incarnation: string }
  | { readonly kind: 'held', readonly host: HostId, readonly endpoints: readonly EndpointId[], readonly isLeaving: boolean }
  | { readonly kind: 'lost', readonly host: HostId }
  | { readonly kind: 'leaving' }
