/** One benchmark of `npm run bench`. */

interface Bound {
  /** The name of a figure. */
  readonly figure: string
  /** Bounds are on counts and ratios, never on bare times. */
  readonly atLeast?: number
  readonly atMost?: number
}

/** Measures and returns named figures; `npm run bench -- --check` fails when a bound is passed. */
export interface Benchmark {
  readonly name: string
  readonly bounds: readonly Bound[]
  run (): Promise<Readonly<Record<string, number>>>
}
