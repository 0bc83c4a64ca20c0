/** What can happen to the places of one endpoint, as this host counts them. */

import type { PlaceOrder } from './placeorder.ts'

export type PlaceEvent =
  | { readonly kind: 'arrived', readonly order: PlaceOrder }
  /** `ending`: `answered`, or `cutOff` when no answer came, so that its true time is longer; `notSent` took no time of the endpoint. */
  | { readonly kind: 'finished', readonly id: number, readonly ending: 'answered' | 'cutOff' | 'notSent' }
  /** It doesn't want a place any more; no answer is owed. */
  | { readonly kind: 'cancelled', readonly id: number }
  /** The endpoint is out of reach, so that nothing which waits can be done there. */
  | { readonly kind: 'unreachable' }
  | { readonly kind: 'tick' }
