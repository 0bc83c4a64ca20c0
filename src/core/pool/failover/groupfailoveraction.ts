/** What the succession of a group wants done. */

import type { EndpointId } from '../../id/endpoint.ts'

export type GroupFailoverAction =
  /** Take the lease; `asksFor`: ask the other hosts whether they reach this primary. */
  | { readonly kind: 'claim', readonly cause: 'leaving' | 'gone' | 'unreached' | 'nobody', readonly asksFor: EndpointId | undefined }
  /** Read from the store whether any host objected under the fence. */
  | { readonly kind: 'confirm', readonly fence: number }
  /** Ask the endpoints how far their logs reach; the old primary too, and first, where it hands over in order. */
  | { readonly kind: 'survey', readonly old: EndpointId | undefined, readonly isHandover: boolean }
  /** Ask the same without stopping anything: only whether one of them leads. */
  | { readonly kind: 'look', readonly old: EndpointId | undefined }
  /** `handsOver`: the old primary, where it leaves in order and commits until the order takes effect. */
  | { readonly kind: 'promote', readonly endpoint: EndpointId, readonly fence: number, readonly handoverFrom: EndpointId | undefined }
  /** The survey found a primary. */
  | { readonly kind: 'found', readonly endpoint: EndpointId, readonly term: number }
  /** No promotion follows; what was stopped for it goes on. */
  | { readonly kind: 'giveUp' }
