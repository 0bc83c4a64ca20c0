/** Events of a slot that its admission takes in. */

import type { AdmissionRequest } from './request.ts'

export type AdmissionEvent =
  | { readonly kind: 'arrived', readonly request: AdmissionRequest }
  /** The request returned its connection; one that isn't usable is closed. */
  | { readonly kind: 'finished', readonly id: number, readonly isUsable: boolean }
  /** The request no longer needs a connection and expects no answer. */
  | { readonly kind: 'cancelled', readonly id: number }
  /** `isVacant`: there is room for one more connection, which is opened only for the request that gets it. */
  | { readonly kind: 'opened', readonly isVacant?: boolean }
  /** A started request opens a connection of its own; the idle connection that it would have taken stays idle. */
  | { readonly kind: 'added' }
  /** The connection for a started request was opened. */
  | { readonly kind: 'dialled' }
  /** The connection for a started request could not be opened. */
  | { readonly kind: 'dialFailed' }
  /** The endpoint is up but accepts no more connections for now. The started request has already returned its place. */
  | { readonly kind: 'dialRefused' }
  | { readonly kind: 'openFailed' }
  /** The endpoint is up but accepts no more connections for now. */
  | { readonly kind: 'openRefused' }
  /** Idle connections broke. */
  | { readonly kind: 'lost', readonly count: number }
  | { readonly kind: 'tick' }
