/** The reply to a caller's statement. */

import type { Fault } from './fault.ts'

/** `isFinal`: the session is closed after this reply. */
export type Reply =
  | { readonly kind: 'done', readonly rows: string, readonly proof: string | undefined }
  | { readonly kind: 'refused', readonly fault: Fault, readonly message: string, readonly isFinal?: boolean }
