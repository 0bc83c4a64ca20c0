/** Commands that a process sends to an endpoint: a caller's statement with its id, or one of the process's own. */

import type { Term } from '../id/term.ts'
import type { Token } from '../token.ts'

/**
 * `after`, if given, makes the endpoint refuse the read as `behind` unless its log holds the position. The kinds without an id are the
 * process's own.
 */
export type Command =
  | { readonly kind: 'read', readonly id: string, readonly args: string, readonly after?: Token }
  | { readonly kind: 'write', readonly id: string, readonly args: string }
  | { readonly kind: 'execute', readonly id: string, readonly name: string, readonly args: string, readonly after?: Token }
  | { readonly kind: 'commit', readonly id: string }
  | { readonly kind: 'begin', readonly isReadOnly: boolean, readonly after?: Token }
  | { readonly kind: 'rollback' }
  | { readonly kind: 'reset' }
  | { readonly kind: 'set', readonly name: string, readonly value: string }
  | { readonly kind: 'prepare', readonly name: string, readonly isWrite: boolean, readonly shape: string }
  | { readonly kind: 'status' }
  | { readonly kind: 'pause', readonly term: Term }
  | { readonly kind: 'resume' }
  | { readonly kind: 'stepDown', readonly term: Term }
