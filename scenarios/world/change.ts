/** One change that a statement makes to a fake endpoint's data. */

/**
 * - `append`: a value at the end of a list.
 * - `claim`, `record`: the row of an idempotency key, and the counts in it.
 * - `touch`: a write that changes nothing that is read.
 */
export type Change =
  | { readonly kind: 'append', readonly key: string, readonly value: string }
  | { readonly kind: 'claim', readonly id: string, readonly fingerprint: string }
  | { readonly kind: 'record', readonly id: string, readonly affected: number, readonly insertId: number }
  | { readonly kind: 'touch' }
