/** How stale the answer of a read may be. */

/**
 * - `strict`: never stale; read at the primary under proof that no newer term began.
 * - `session`: holds the session's own writes, else as stale as the replica.
 * - `age`: holds the session's own writes and is at most `ms` behind the primary.
 */
export type Freshness =
  | { readonly kind: 'strict' }
  | { readonly kind: 'session' }
  | { readonly kind: 'age', readonly ms: number }
