/** How exactly allowances are kept, as the settings say. */

export interface AllowanceBounds {
  /** In any span of this length no more than rate x span + burst may run, but for the tolerance. Milliseconds. */
  readonly windowMs: number
  /** The tolerance: this share of it, */
  readonly overage: number
  /** and so many operations. */
  readonly slack: number
}
