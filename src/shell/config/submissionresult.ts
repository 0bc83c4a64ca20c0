/** The result of a submitted patch. */

import type { ConfigVersion } from '../../core/id/version.ts'

/**
 * - `accepted`: the patch became `version`.
 * - `outdated`: its base is not the newest version; `changes` lists the changes since.
 * - `reused`: its id was already used for another patch, which became `version`.
 * - `invalid`: the result is not a valid configuration; nothing was written.
 * - `unknown`: the store did not respond; repeat the command with the same id.
 */
export type SubmissionResult =
  | { readonly kind: 'accepted', readonly version: ConfigVersion }
  | { readonly kind: 'outdated', readonly newest: ConfigVersion, readonly changes: string }
  | { readonly kind: 'reused', readonly version: ConfigVersion }
  | { readonly kind: 'invalid', readonly problem: string }
  | { readonly kind: 'unknown', readonly cause: string }
