/** What the fake endpoints can run. */

interface Append {
  readonly kind: 'append'
  readonly key: string
  readonly value: string
  /** The idempotency key; kept with the effect, in one transaction. */
  readonly once?: string
}

export type Statement =
  | Append
  | { readonly kind: 'read', readonly keys: readonly string[] }
  | { readonly kind: 'begin' }
  | { readonly kind: 'commit' }
