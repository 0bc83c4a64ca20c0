/** The durations by which the silence of a host is judged, in milliseconds. */

export interface MembershipTimings {
  /** Silence on a link after which a host is suspected: it keeps its slots, but requests go elsewhere. */
  readonly suspectMs: number
  /** Silence after which a host counts as gone and others take over its slots. */
  readonly goneMs: number
}
