/** Events of one endpoint's places, as this host counts them. */

import type { PlaceOrder } from './placeorder.ts'

export type PlaceEvent =
  | { readonly kind: 'arrived', readonly order: PlaceOrder }
  /** `ending`: `answered`; `cutOff` if no answer came, so that its true time is longer; `notSent` if it took no time at the endpoint. */
  | { readonly kind: 'finished', readonly id: number, readonly ending: 'answered' | 'cutOff' | 'notSent' }
  /** The request is withdrawn; no action follows for it. */
  | { readonly kind: 'cancelled', readonly id: number }
  /** The endpoint can't be reached, so nothing that waits can be done there. */
  | { readonly kind: 'unreachable' }
  | { readonly kind: 'tick' }
