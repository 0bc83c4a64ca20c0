/** What can happen to a slot, as its admission counts it. */

import type { AdmissionRequest } from './request.ts'

export type AdmissionEvent =
  | { readonly kind: 'arrived', readonly request: AdmissionRequest }
  /** The request gave its connection back; one that isn't usable is closed. */
  | { readonly kind: 'finished', readonly id: number, readonly isUsable: boolean }
  /** The request doesn't want a connection any more; no answer is owed. */
  | { readonly kind: 'cancelled', readonly id: number }
  | { readonly kind: 'opened' }
  | { readonly kind: 'openFailed' }
  /** The endpoint lives and takes no more connections now. */
  | { readonly kind: 'openRefused' }
  /** Connections broke while nobody used them. */
  | { readonly kind: 'lost', readonly count: number }
  | { readonly kind: 'tick' }
