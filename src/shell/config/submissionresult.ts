/** How a submitted patch ended. */

import type { ConfigVersion } from '../../core/id/version.ts'

/**
 * - `accepted`: the patch is the version.
 * - `outdated`: its base isn't the newest; `changes` says what changed since.
 * - `reused`: its id was used for another patch.
 * - `invalid`: the result isn't a configuration; nothing was written.
 * - `unknown`: the store didn't answer; the same command with the same id settles it.
 */
export type SubmissionResult =
  | { readonly kind: 'accepted', readonly version: ConfigVersion }
  | { readonly kind: 'outdated', readonly newest: ConfigVersion, readonly changes: string }
  | { readonly kind: 'reused', readonly version: ConfigVersion }
  | { readonly kind: 'invalid', readonly problem: string }
  | { readonly kind: 'unknown', readonly cause: string }
