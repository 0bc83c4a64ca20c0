/** Bounds within which allowances are enforced, from the settings. */

export interface AllowanceBounds {
  /** In any window of this length at most rate x window + burst operations run, plus a tolerance. Milliseconds. */
  readonly windowMs: number
  /** Part of the tolerance: this share of rate x window + burst. */
  readonly overage: number
  /** Part of the tolerance: this number of operations. */
  readonly slack: number
}
