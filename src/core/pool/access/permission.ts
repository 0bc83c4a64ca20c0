/** Decides whether a caller may run a statement, and for which team. */

import type { Team } from './team.ts'

interface AccessRequest {
  /** Whether the database accepts callers without a key. */
  readonly isPublic: boolean
  /** The team that the key belongs to in this host's configuration; undefined when there is none. */
  readonly holder: Team | undefined
  /** Upper bound for the age of that configuration in milliseconds; the store may have a newer one since. */
  readonly ageMs: number
}

interface Bounds {
  /** Keys aren't accepted by an older configuration, in milliseconds; infinite where the settings don't bound the time to revoke a key. */
  readonly maxConfigAgeMs: number
  /** The age that the configuration of a host with a working connection to the store doesn't exceed, in milliseconds. */
  readonly normalConfigAgeMs: number
}

type Permission =
  /** `team`: undefined where no key is needed. */
  | { readonly kind: 'granted', readonly team: Team | undefined }
  /** `outOfTouch`: this host's configuration is too old to decide; another host may be able to. */
  | { readonly kind: 'refused', readonly fault: 'unauthorised' | 'outOfTouch' }

/**
 * A host that is cut off from the store can't learn of a revoked key, so beyond `maxConfigAgeMs` it refuses every statement that needs a
 * key. An unknown key isn't rejected as `unauthorised` beyond `normalConfigAgeMs`, since it may have been added meanwhile.
 */
export function permissionOf ({ isPublic, holder, ageMs }: AccessRequest, { maxConfigAgeMs, normalConfigAgeMs }: Bounds): Permission {
  if (isPublic) return { kind: 'granted', team: undefined }
  if (ageMs > maxConfigAgeMs) return { kind: 'refused', fault: 'outOfTouch' }
  if (holder !== undefined) return { kind: 'granted', team: holder }
  return { kind: 'refused', fault: ageMs > normalConfigAgeMs ? 'outOfTouch' : 'unauthorised' }
}
