/** Whether a caller's statement may go out, and for which team. */

import type { Team } from './team.ts'

interface AccessRequest {
  /** Whether the database takes callers without a key. */
  readonly isPublic: boolean
  /** Who holds the key by the configuration that this host has; undefined for nobody. */
  readonly holder: Team | undefined
  /** How old that configuration may be, in milliseconds: the store had it so long ago, and may have a newer one since. */
  readonly ageMs: number
}

interface Bounds {
  /** Nothing that needs a key goes out on older knowledge; infinite where keys that were taken away may be served for longer. Milliseconds. */
  readonly maxConfigAgeMs: number
  /** A host that hears from the store as a rule knows this much or less late; milliseconds. */
  readonly normalConfigAgeMs: number
}

type Permission =
  /** `team`: undefined where no key is needed. */
  | { readonly kind: 'granted', readonly team: Team | undefined }
  /** `outOfTouch`: this host doesn't know, another may. */
  | { readonly kind: 'refused', readonly fault: 'unauthorised' | 'outOfTouch' }

/**
 * Guard against a statement that runs on a key which was taken away: a host that is cut off from the store would serve it for as long
 * as the cut lasts. So a host knows how old its configuration may be, and beyond the bound sends nothing that needs a key. Nor does it deny a
 * key then, or one that it would know if it were as new as others are: the key may have been added since.
 */
export function permissionOf ({ isPublic: isOpen, holder, ageMs }: AccessRequest, { maxConfigAgeMs: trustMs, normalConfigAgeMs: freshMs }: Bounds): Permission {
  if (isOpen) return { kind: 'granted', team: undefined }
  if (ageMs > trustMs) return { kind: 'refused', fault: 'outOfTouch' }
  if (holder !== undefined) return { kind: 'granted', team: holder }
  return { kind: 'refused', fault: ageMs > freshMs ? 'outOfTouch' : 'unauthorised' }
}
