/** What can happen to a slot, as its admission counts it. */

import type { AdmissionRequest } from './request.ts'

export type AdmissionEvent =
  | { readonly kind: 'arrived', readonly request: AdmissionRequest }
  /** The request gave its connection back; one that isn't usable is closed. */
  | { readonly kind: 'finished', readonly id: number, readonly isUsable: boolean }
  /** The request doesn't want a connection any more; no answer is owed. */
  | { readonly kind: 'cancelled', readonly id: number }
  /** `isVacant`: there is room for a connection, which is opened for the request that gets it. */
  | { readonly kind: 'opened', readonly isVacant?: boolean }
  /** A request that was started gets a connection of its own beside the one that it would have taken, which stays idle. */
  | { readonly kind: 'added' }
  /** The connection for a request that was started is there, */
  | { readonly kind: 'dialled' }
  /** couldn't be had, */
  | { readonly kind: 'dialFailed' }
  /** or the endpoint lives and takes no more now. The request has given its place back before. */
  | { readonly kind: 'dialRefused' }
  | { readonly kind: 'openFailed' }
  /** The endpoint lives and takes no more connections now. */
  | { readonly kind: 'openRefused' }
  /** Connections broke while nobody used them. */
  | { readonly kind: 'lost', readonly count: number }
  | { readonly kind: 'tick' }
