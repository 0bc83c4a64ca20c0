/** A caller's statement, decoded from the protocol that carried it. */

/**
 * `args` is the statement's text after its verb, byte for byte as received, and is passed on unchanged. Only prepared statements are
 * renamed, since callers' names would collide on a shared connection.
 */
export type Statement =
  | { readonly kind: 'begin', readonly isReadOnly: boolean }
  | { readonly kind: 'commit' }
  | { readonly kind: 'rollback' }
  | { readonly kind: 'read', readonly args: string }
  | { readonly kind: 'write', readonly args: string }
  | { readonly kind: 'set', readonly name: string, readonly value: string }
  | { readonly kind: 'prepare', readonly name: string, readonly isWrite: boolean, readonly shape: string }
  | { readonly kind: 'execute', readonly name: string, readonly args: string }
  | { readonly kind: 'deallocate', readonly name: string }
