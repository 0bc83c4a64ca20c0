/** The times by which silence is judged, in milliseconds. */

export interface MembershipTimings {
  /** Silence on a link after which a host is suspected: its slots stay its own, its requests move. */
  readonly suspectMs: number
  /** Silence after which a host counts as gone: others take its slots over. */
  readonly goneMs: number
}
