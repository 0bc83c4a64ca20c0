/** How stale a read's answer may be. */

/**
 * - `strict`: never stale; read at the primary with proof that no newer term began.
 * - `session`: includes the session's own writes; otherwise as stale as the replica.
 * - `age`: includes the session's own writes and is at most `ms` milliseconds behind the primary.
 */
export type Freshness =
  | { readonly kind: 'strict' }
  | { readonly kind: 'session' }
  | { readonly kind: 'age', readonly ms: number }
